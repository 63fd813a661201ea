package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

var (
	// ErrUnreachable means that no host gave a definite response: each call failed or
	// ended with a 5xx status.
	ErrUnreachable = errors.New("no host answered")
	// ErrRefused means that a host rejected the call or the change.
	ErrRefused = errors.New("refused")
)

const callTimeout = 15 * time.Second

// AdminClient calls the admin API of the first host that responds.
type AdminClient struct {
	// Hosts lists the HTTP addresses of the hosts, in the order in which they are tried.
	Hosts []string
	Token string
}

// Call sends a request to the hosts in order until one responds, and decodes the
// JSON response into out. Status 409 carries a typed response and is decoded like
// status 200.
func (a *AdminClient) Call(ctx context.Context, method, path string, in, out any) error {
	var lastErr error
	for _, host := range a.Hosts {
		err := a.CallHost(ctx, host, method, path, in, out)
		if err == nil || errors.Is(err, ErrRefused) {
			return err
		}
		lastErr = err
	}
	return fmt.Errorf("%w: %v", ErrUnreachable, lastErr)
}

// CallHost sends a request to one host and decodes the JSON response into out.
func (a *AdminClient) CallHost(ctx context.Context, host, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return err
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+host+path, body)
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+a.Token)
	req.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode >= 500 {
		return fmt.Errorf("%s: %s", host, errorMessage(data))
	}
	if response.StatusCode >= 400 && response.StatusCode != http.StatusConflict {
		return fmt.Errorf("%w by %s: %s", ErrRefused, host, errorMessage(data))
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(data, out)
}

func errorMessage(data []byte) string {
	var body struct {
		Message string `json:"message"`
	}
	if json.Unmarshal(data, &body) == nil && body.Message != "" {
		return body.Message
	}
	return strings.TrimSpace(string(data))
}
