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
	// ErrUnreachable means that no host answered.
	ErrUnreachable = errors.New("no host answered")
	// ErrRefused means that a host refused the call.
	ErrRefused = errors.New("refused")
)

const callTimeout = 15 * time.Second

// AdminClient calls the operators' interface of the first host that answers.
type AdminClient struct {
	// Hosts are HTTP addresses, tried in order.
	Hosts []string
	Token string
}

// Call sends a request and decodes the JSON answer into out. Status 409, which
// carries a typed answer, is decoded like 200.
func (a *AdminClient) Call(ctx context.Context, method, path string, in, out any) error {
	var last error
	for _, host := range a.Hosts {
		err := a.CallHost(ctx, host, method, path, in, out)
		if err == nil || errors.Is(err, ErrRefused) {
			return err
		}
		last = err
	}
	return fmt.Errorf("%w: %v", ErrUnreachable, last)
}

// CallHost sends a request to one host.
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
		return fmt.Errorf("%s: %s", host, message(data))
	}
	if response.StatusCode >= 400 && response.StatusCode != http.StatusConflict {
		return fmt.Errorf("%w by %s: %s", ErrRefused, host, message(data))
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(data, out)
}

func message(data []byte) string {
	var body struct {
		Message string `json:"message"`
	}
	if json.Unmarshal(data, &body) == nil && body.Message != "" {
		return body.Message
	}
	return strings.TrimSpace(string(data))
}
