package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	discoveryTimeout = 3 * time.Second
	defaultAttempts  = 4
	maxRefusalBytes  = 1 << 20
)

// ErrNoHost means that no entry host answered; the request did not run.
var ErrNoHost = errors.New("client: no entry host answered")

// Host is an entry host as discovery names it.
type Host struct {
	Name       string `json:"name"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	Region     string `json:"region"`
}

// RefusalError is the gateway's refusal of a request.
type RefusalError struct {
	Status  int
	Code    string
	Message string
	// Ran is "not_run", "unknown" or "complete".
	Ran        string
	RetryAfter time.Duration
	Hosts      []string
	RequestID  string
}

func (e *RefusalError) Error() string {
	return fmt.Sprintf("client: refused with %d %s (%s): %s", e.Status, e.Code, e.Ran, e.Message)
}

// Request is one call. It is sent again only if Idempotent is set, if it has an
// IdempotencyKey, or if the gateway says that it did not run.
type Request struct {
	Method, Path string
	Body         []byte
	Header       http.Header
	// Idempotent says that running it twice does no harm.
	Idempotent bool
	// IdempotencyKey lets the gateway run it at most once over all resends.
	IdempotencyKey string
	// Timeout bounds the call over all attempts; default 60 s.
	Timeout time.Duration
	// MaxAttempts bounds the attempts; default 4.
	MaxAttempts int
	// ReturnRefusals returns a refusal at once unless it names other hosts.
	ReturnRefusals bool
}

// Client finds entry hosts and calls them. It is safe for concurrent use.
type Client struct {
	key   string
	seeds []string
	http  *http.Client

	mu      sync.Mutex
	hosts   []string
	expires time.Time
}

// New returns a client. The seeds are addresses (IP:port) of some entry hosts.
func New(key string, seeds ...string) *Client {
	return &Client{key: key, seeds: seeds, http: &http.Client{}}
}

// Hosts returns the ranked entry hosts and asks for them when the last answer
// has expired. Without an answer it returns the last known hosts or the seeds.
func (c *Client) Hosts(ctx context.Context) []string {
	c.mu.Lock()
	known, fresh := c.hosts, time.Now().Before(c.expires)
	c.mu.Unlock()
	if fresh {
		return known
	}
	for _, address := range append(append([]string{}, known...), c.seeds...) {
		if hosts := c.discover(ctx, address); len(hosts) > 0 {
			return hosts
		}
	}
	if len(known) > 0 {
		return known
	}
	return c.seeds
}

func (c *Client) discover(ctx context.Context, address string) []string {
	ctx, cancel := context.WithTimeout(ctx, discoveryTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/hosts", nil)
	if err != nil {
		return nil
	}
	if c.key != "" {
		req.Header.Set("Authorization", "Bearer "+c.key)
	}
	response, err := c.http.Do(req)
	if err != nil {
		return nil
	}
	defer response.Body.Close()
	var list struct {
		Hosts []Host `json:"hosts"`
		TTLMS int64  `json:"ttl_ms"`
	}
	if response.StatusCode != http.StatusOK || json.NewDecoder(response.Body).Decode(&list) != nil {
		return nil
	}
	var out []string
	for _, h := range list.Hosts {
		out = append(out, h.Address)
	}
	c.mu.Lock()
	c.hosts, c.expires = out, time.Now().Add(time.Duration(list.TTLMS)*time.Millisecond)
	c.mu.Unlock()
	return out
}

// Do sends the request and returns the answer, whose body the caller closes. A
// read error on the body means that the answer broke off.
func (c *Client) Do(ctx context.Context, r Request) (*http.Response, error) {
	if r.Timeout <= 0 {
		r.Timeout = time.Minute
	}
	if r.MaxAttempts <= 0 {
		r.MaxAttempts = defaultAttempts
	}
	deadline := time.Now().Add(r.Timeout)
	hosts := c.Hosts(ctx)
	last := ErrNoHost
	next := 0
	for range r.MaxAttempts {
		if len(hosts) == 0 || time.Now().After(deadline) || ctx.Err() != nil {
			break
		}
		response, err := c.send(ctx, hosts[next%len(hosts)], r, time.Until(deadline))
		if err == nil {
			return response, nil
		}
		last = err
		next++
		if !mayRetry(r, err) {
			return nil, err
		}
		if refused, ok := errors.AsType[*RefusalError](err); ok {
			if len(refused.Hosts) > 0 {
				hosts, next = refused.Hosts, 0
			} else if r.ReturnRefusals {
				return nil, err
			} else if wait(ctx, min(refused.RetryAfter, time.Until(deadline))) != nil {
				break
			}
		}
	}
	return nil, last
}

// mayRetry reports whether sending the request again cannot run it twice.
func mayRetry(r Request, err error) bool {
	refused, ok := errors.AsType[*RefusalError](err)
	if !ok {
		return r.Idempotent || r.IdempotencyKey != ""
	}
	switch refused.Code {
	case "wrong_host", "draining", "no_target", "no_quorum", "rate_limited", "overloaded", "operation_running":
		return true
	case "target_failed":
		return r.Idempotent || refused.Ran == "not_run"
	}
	return false
}

func wait(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// onceBody cannot be rewound, so that net/http does not re-send by itself.
type onceBody struct{ io.Reader }

func (onceBody) Close() error { return nil }

func (c *Client) send(ctx context.Context, address string, r Request, remaining time.Duration) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+address+r.Path, onceBody{bytes.NewReader(r.Body)})
	if err != nil {
		return nil, fmt.Errorf("client: %w", err)
	}
	req.ContentLength = int64(len(r.Body))
	for name, values := range r.Header {
		req.Header[name] = values
	}
	if c.key != "" {
		req.Header.Set("Authorization", "Bearer "+c.key)
	}
	if r.IdempotencyKey != "" {
		req.Header.Set("Idempotency-Key", r.IdempotencyKey)
	}
	req.Header.Set("Geraniumturn-Timeout-Ms", strconv.FormatInt(max(1, remaining.Milliseconds()), 10))
	response, err := c.http.Do(req)
	if err != nil {
		return nil, fmt.Errorf("client: %w", err)
	}
	if response.StatusCode < 400 {
		return response, nil
	}
	return refusalOrAnswer(response)
}

// refusalOrAnswer tells a refusal of the gateway from an answer of a target
// with an error status, which is returned as it is.
func refusalOrAnswer(response *http.Response) (*http.Response, error) {
	data, err := io.ReadAll(io.LimitReader(response.Body, maxRefusalBytes))
	response.Body.Close()
	if err != nil {
		return nil, fmt.Errorf("client: read refusal: %w", err)
	}
	var body struct {
		Error struct {
			Code         string   `json:"code"`
			Message      string   `json:"message"`
			Ran          string   `json:"ran"`
			RetryAfterMS int64    `json:"retry_after_ms"`
			Hosts        []string `json:"hosts"`
			RequestID    string   `json:"request_id"`
		} `json:"error"`
	}
	if json.Unmarshal(data, &body) != nil || body.Error.Ran == "" {
		response.Body = io.NopCloser(bytes.NewReader(data))
		return response, nil
	}
	e := body.Error
	return nil, &RefusalError{Status: response.StatusCode, Code: e.Code, Message: e.Message, Ran: e.Ran,
		RetryAfter: time.Duration(e.RetryAfterMS) * time.Millisecond, Hosts: e.Hosts, RequestID: e.RequestID}
}
