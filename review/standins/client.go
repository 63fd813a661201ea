package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"time"
)

// call is one client attempt.
type call struct {
	method, path, key string
	tokens            string // X-Token-Counts, or ""
	deadline          time.Duration
	body              []byte
	onSend            func(id string) // called right before the attempt is sent; nil if it is not needed
}

// answer is what a client saw.
type answer struct {
	id     string
	status int // 0 without a response
	body   string
	signed bool
	err    error
}

// newClient returns a client that keeps its connections open.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}
}

func newAttemptID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send sends one client attempt to an edge machine.
func send(client *http.Client, m *machine, c call) answer {
	a := answer{id: newAttemptID()}
	req, err := http.NewRequest(c.method, "http://"+m.front()+c.path, bytes.NewReader(c.body))
	if err != nil {
		a.err = err
		return a
	}
	req.GetBody = nil // keeps the HTTP client from repeating the request
	req.Host = "llegadas.example"
	req.Header.Set("X-Attempt-Id", a.id)
	req.Header.Set("X-Deadline-Milliseconds", fmt.Sprint(c.deadline.Milliseconds()))
	req.Header.Set("Authorization", "Bearer "+c.key)
	if c.tokens != "" {
		req.Header.Set("X-Token-Counts", c.tokens)
	}
	if c.onSend != nil {
		c.onSend(a.id)
	}
	short := &http.Client{Transport: client.Transport, Timeout: c.deadline}
	res, err := short.Do(req)
	if err != nil {
		a.err = err
		return a
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		a.err = err
		return a
	}
	a.body = string(body)
	a.status, a.signed = res.StatusCode, res.Header.Get("X-Response-Signature") != ""
	return a
}
