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
	discoveryTimeout   = 3 * time.Second
	defaultMaxAttempts = 4
	maxRefusalBytes    = 1 << 20
)

// ErrNoHost means that no attempt was made, because no entry host is known, or because
// ctx or the timeout ended the call first. The request did not run.
var ErrNoHost = errors.New("client: request not sent to any entry host")

// Host is an entry host in a discovery response.
type Host struct {
	Name       string `json:"name"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	Region     string `json:"region"`
}

// RefusalError is returned when the gateway refuses a request.
type RefusalError struct {
	Status  int
	Code    string
	Message string
	// Ran tells whether the request ran on a target: "not_run", "unknown" or "complete".
	Ran        string
	RetryAfter time.Duration
	Hosts      []string
	RequestID  string
}

func (e *RefusalError) Error() string {
	return fmt.Sprintf("client: refused with %d %s (%s): %s", e.Status, e.Code, e.Ran, e.Message)
}

// Request is one call. It is retried only if Idempotent is set, if it has an
// IdempotencyKey, or if the gateway reports that it did not run.
type Request struct {
	Method, Path string
	Body         []byte
	Header       http.Header
	// Idempotent marks a request that is safe to run more than once.
	Idempotent bool
	// IdempotencyKey makes the gateway run the request at most once over all retries.
	IdempotencyKey string
	// Timeout limits the call including all attempts; the default is 60 s.
	Timeout time.Duration
	// MaxAttempts limits the number of attempts; the default is 4.
	MaxAttempts int
	// ReturnRefusals returns a refusal without a retry unless it lists other hosts
	// to try.
	ReturnRefusals bool
}

// Client discovers entry hosts and calls them. It is safe for concurrent use.
type Client struct {
	key   string
	seeds []string
	http  *http.Client

	mu      sync.Mutex
	hosts   []string
	expires time.Time
}

// New returns a client. The seeds are addresses (IP:port) of entry hosts;
// discovery calls them when no known host responds.
func New(key string, seeds ...string) *Client {
	return &Client{key: key, seeds: seeds, http: &http.Client{}}
}

// Hosts returns the entry hosts in order of preference. It runs discovery when the
// cached list has expired. If discovery fails, it returns the expired list or, if
// there is none, the seeds.
func (c *Client) Hosts(ctx context.Context) []string {
	c.mu.Lock()
	cached, fresh := c.hosts, time.Now().Before(c.expires)
	c.mu.Unlock()
	if fresh {
		return cached
	}
	for _, address := range append(append([]string{}, cached...), c.seeds...) {
		if hosts := c.discover(ctx, address); len(hosts) > 0 {
			return hosts
		}
	}
	if len(cached) > 0 {
		return cached
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

// Do sends the request and returns the response. The caller closes its body. A
// read error on the body means that the response was cut off. That includes
// io.ErrUnexpectedEOF at the end of a body that has neither a length nor chunks: it ends
// with its connection, which does not tell a complete response from a broken one.
func (c *Client) Do(ctx context.Context, r Request) (*http.Response, error) {
	if r.Timeout <= 0 {
		r.Timeout = time.Minute
	}
	if r.MaxAttempts <= 0 {
		r.MaxAttempts = defaultMaxAttempts
	}
	deadline := time.Now().Add(r.Timeout)
	hosts := c.Hosts(ctx)
	lastErr := ErrNoHost
	next := 0
	for range r.MaxAttempts {
		if len(hosts) == 0 || time.Now().After(deadline) || ctx.Err() != nil {
			break
		}
		response, err := c.send(ctx, hosts[next%len(hosts)], r, time.Until(deadline))
		if err == nil {
			return response, nil
		}
		lastErr = err
		next++
		if !mayRetry(r, err) {
			return nil, err
		}
		if refused, ok := errors.AsType[*RefusalError](err); ok {
			if len(refused.Hosts) > 0 {
				hosts, next = refused.Hosts, 0
			} else if r.ReturnRefusals {
				return nil, err
			} else if sleep(ctx, min(refused.RetryAfter, time.Until(deadline))) != nil {
				break
			}
		}
	}
	return nil, lastErr
}

// mayRetry reports whether a retry is safe: the request is idempotent, or a retry
// cannot make it run twice.
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

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// nonRewindableBody hides the type of the reader, so that net/http cannot rewind the
// body and does not retry the request by itself.
type nonRewindableBody struct{ io.Reader }

func (nonRewindableBody) Close() error { return nil }

func (c *Client) send(ctx context.Context, address string, r Request, remaining time.Duration) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+address+r.Path, nonRewindableBody{bytes.NewReader(r.Body)})
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
	if req.Header.Get("Accept-Encoding") == "" {
		req.Header.Set("Accept-Encoding", "identity") // net/http hides the length of what it decompresses
	}
	req.Header.Set("Geraniumturn-Timeout-Ms", strconv.FormatInt(max(1, remaining.Milliseconds()), 10))
	response, err := c.http.Do(req)
	if err != nil {
		return nil, fmt.Errorf("client: %w", err)
	}
	if isUnframed(response) {
		response.Body = unframedBody{response.Body}
	}
	if response.StatusCode < 400 {
		return response, nil
	}
	return parseErrorResponse(response)
}

// isUnframed reports whether a response has a body that ends with its connection.
func isUnframed(response *http.Response) bool {
	return response.ProtoMajor == 1 && response.ContentLength < 0 && len(response.TransferEncoding) == 0 && response.Body != http.NoBody
}

// unframedBody returns io.ErrUnexpectedEOF at the end of a body.
type unframedBody struct{ io.ReadCloser }

func (b unframedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// partlyRead is a body of which a part was read before.
type partlyRead struct {
	io.Reader
	io.Closer
}

// parseErrorResponse returns a RefusalError for a refusal of the gateway. An error
// response of a target is returned unchanged.
func parseErrorResponse(response *http.Response) (*http.Response, error) {
	data, err := io.ReadAll(io.LimitReader(response.Body, maxRefusalBytes))
	if err == nil && len(data) == maxRefusalBytes { // more may follow
		response.Body = partlyRead{io.MultiReader(bytes.NewReader(data), response.Body), response.Body}
		return response, nil
	}
	response.Body.Close()
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
	if json.Unmarshal(data, &body) != nil || body.Error.Ran == "" { // whole JSON shows its own end
		if err != nil {
			return nil, fmt.Errorf("client: read refusal: %w", err)
		}
		response.Body = io.NopCloser(bytes.NewReader(data))
		return response, nil
	}
	e := body.Error
	return nil, &RefusalError{Status: response.StatusCode, Code: e.Code, Message: e.Message, Ran: e.Ran,
		RetryAfter: time.Duration(e.RetryAfterMS) * time.Millisecond, Hosts: e.Hosts, RequestID: e.RequestID}
}
