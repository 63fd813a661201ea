package dispatch

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"geraniumturn.example/geraniumturn/internal/refusal"
	"geraniumturn.example/geraniumturn/internal/rules"
	"geraniumturn.example/geraniumturn/internal/targets"
)

const (
	headerRequestID = "X-Request-Id"
	headerWorkspace = "Geraniumturn-Workspace"
	headerPriority  = "X-Priority"
	// headerNotRun is how a target proves that it refused before it started.
	headerNotRun = "Geraniumturn-Not-Run"

	connectTimeout = 2 * time.Second
	idleTimeout    = 60 * time.Second
	// holdBytes is how much of an unstreamed answer is held back until it is
	// whole, so that a truncated one can be retried. Larger answers are passed
	// through as they arrive.
	holdBytes = 256 << 10
	copyBytes = 32 << 10
)

// requestHeaders may pass from the caller to a target.
var requestHeaders = []string{"Accept", "Accept-Language", "Content-Type"}

// answerHeaders may pass from a target to the caller.
var answerHeaders = []string{"Content-Type", "Content-Language", "Cache-Control", "Etag", "Location", "Retry-After"}

// AllowedHeaders returns the headers of a caller's request that may be passed
// on. Everything else, and so every place for a key, is left out.
func AllowedHeaders(h http.Header) map[string]string { return pick(h, requestHeaders) }

func pick(h http.Header, names []string) map[string]string {
	out := map[string]string{}
	for _, name := range names {
		if v := h.Get(name); v != "" {
			out[name] = v
		}
	}
	return out
}

// newTransport returns the HTTP transport for targets. net/http re-sends a
// request on a reused connection that breaks if the body can be rewound;
// onceBody rules that out, and non-idempotent requests also get a fresh
// connection each.
func newTransport(reuse bool) *http.Transport {
	dialer := &net.Dialer{Timeout: connectTimeout}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		DisableKeepAlives:   !reuse,
		DisableCompression:  true,
		MaxIdleConnsPerHost: 256,
		IdleConnTimeout:     idleTimeout,
	}
}

// onceBody is a request body that cannot be rewound, also when it is empty.
type onceBody struct{ io.Reader }

func (onceBody) Close() error { return nil }

// attemptError is the end of an attempt without a whole answer.
type attemptError struct {
	err error
	// ran states what the attempt proves about execution.
	ran refusal.Ran
	// started is true when answer bytes reached the caller.
	started bool
	// retry is true when another target may succeed.
	retry bool
}

func (e *attemptError) Error() string { return e.err.Error() }
func (e *attemptError) Unwrap() error { return e.err }

var (
	errTruncated = errors.New("dispatch: answer is truncated")
	errCrossed   = errors.New("dispatch: answer belongs to another request")
	errRefused   = errors.New("dispatch: target refused the request")
	errFailed    = errors.New("dispatch: target failed")
	errSink      = errors.New("dispatch: caller is gone")
)

// client runs attempts on targets.
type client struct {
	reuse *http.Client
	fresh *http.Client
}

func newClient() *client {
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &client{
		reuse: &http.Client{Transport: newTransport(true), CheckRedirect: noRedirect},
		fresh: &http.Client{Transport: newTransport(false), CheckRedirect: noRedirect},
	}
}

// attempt sends req to the target once and copies the answer to the sink.
func (c *client) attempt(ctx context.Context, req *Request, target *targets.Target, out *answerSink) (Result, Outcome, error) {
	start := time.Now()
	outcome := Outcome{Request: req, Target: target.Name, Incarnation: target.Incarnation}
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{
		GotConn:              func(httptrace.GotConnInfo) { connected.Store(true) },
		GotFirstResponseByte: func() { outcome.FirstByte = time.Since(start) },
	}
	response, err := c.send(httptrace.WithClientTrace(ctx, trace), req, target, out)
	outcome.Sent = connected.Load()
	if err != nil {
		outcome.Duration = time.Since(start)
		outcome.Cancelled = ctx.Err() != nil
		outcome.ConnectionFailed = outcome.Sent && !outcome.Cancelled
		return Result{}, outcome, sendError(err, outcome.Sent)
	}
	defer response.Body.Close()
	outcome.Status = response.StatusCode
	result, err := receive(req, target, response, out)
	outcome.Duration = time.Since(start)
	outcome.Complete = err == nil
	outcome.Cancelled = err != nil && (ctx.Err() != nil || errors.Is(err, errSink))
	outcome.ConnectionFailed = errors.Is(err, errTruncated) && !outcome.Cancelled
	return result, outcome, err
}

func sendError(err error, sent bool) error {
	if !sent {
		return &attemptError{err: fmt.Errorf("%w: %v", errFailed, err), ran: refusal.NotRun, retry: true}
	}
	return &attemptError{err: fmt.Errorf("%w: %v", errFailed, err), ran: refusal.Unknown, retry: true}
}

func (c *client) send(ctx context.Context, req *Request, target *targets.Target, answer *answerSink) (*http.Response, error) {
	url := "http://" + target.Address + req.Path
	if req.Query != "" {
		url += "?" + req.Query
	}
	out, err := http.NewRequestWithContext(ctx, req.Method, url, onceBody{bytes.NewReader(req.Body)})
	if err != nil {
		return nil, err
	}
	out.ContentLength = int64(len(req.Body))
	for name, value := range req.Header {
		out.Header.Set(name, value)
	}
	out.Header.Set("User-Agent", "geraniumturn")
	out.Header.Set(headerRequestID, req.ID)
	if req.Workspace != "" {
		out.Header.Set(headerWorkspace, req.Workspace)
	}
	if target.HasFeature("priority") {
		out.Header.Set(headerPriority, priority(req.Class))
	}
	if answer.started {
		out.Header.Set(headerResumeAfter, strconv.Itoa(answer.events))
	}
	if req.Idempotent {
		return c.reuse.Do(out)
	}
	return c.fresh.Do(out)
}

func priority(class rules.Class) string {
	if class == rules.Batch {
		return "10"
	}
	return "0"
}

// receive checks the answer and copies it to the sink.
func receive(req *Request, target *targets.Target, response *http.Response, out *answerSink) (Result, error) {
	if got := response.Header.Get(headerRequestID); got != req.ID && (got != "" || target.HasFeature("echo_request_id")) {
		return Result{}, &attemptError{err: fmt.Errorf("%w: %q", errCrossed, got), ran: refusal.Unknown, retry: true}
	}
	if err := statusError(req, response); err != nil {
		return Result{}, err
	}
	if out.started {
		if err := resumed(response, out.events); err != nil {
			return Result{}, err
		}
	}
	body := &answerReader{reader: response.Body, framed: response.ContentLength >= 0 || slices.Contains(response.TransferEncoding, "chunked")}
	result := Result{Status: response.StatusCode, Target: target.Name}
	scan := newScanner(req, response)
	out.restart(scan.events)
	header := pick(response.Header, answerHeaders)
	if err := copyAnswer(body, scan, out, response.StatusCode, header, req.Stream); err != nil {
		return Result{}, err
	}
	result.PromptTokens, result.CompletionTokens = scan.usage()
	return result, nil
}

// statusError turns refusals and failures of a target into attempt errors. The
// answer of a target to a non-idempotent request is passed on whatever its
// status is, since another attempt is not allowed.
func statusError(req *Request, response *http.Response) error {
	status := response.StatusCode
	busy := status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
	if busy && response.Header.Get(headerNotRun) == "true" {
		return &attemptError{err: fmt.Errorf("%w: status %d", errRefused, status), ran: refusal.NotRun, retry: true}
	}
	if req.Idempotent && (status >= 500 || status == http.StatusTooManyRequests) {
		return &attemptError{err: fmt.Errorf("%w: status %d", errFailed, status), ran: refusal.Unknown, retry: true}
	}
	return nil
}

// answerReader reports an answer without declared length or chunked framing as
// truncated, because its end cannot be told from a broken connection.
type answerReader struct {
	reader io.Reader
	framed bool
}

func (r *answerReader) Read(p []byte) (int, error) {
	n, err := r.reader.Read(p)
	if err == nil {
		return n, nil
	}
	if err == io.EOF && r.framed {
		return n, io.EOF
	}
	return n, fmt.Errorf("%w: %v", errTruncated, err)
}

// copyAnswer passes a streamed answer on as it arrives. It holds other answers
// up to holdBytes, so that a truncated one can be retried unseen.
func copyAnswer(body io.Reader, scan *scanner, answer *answerSink, status int, header map[string]string, stream bool) error {
	out := &holdingSink{answer: answer, status: status, header: header, through: stream}
	buffer := make([]byte, copyBytes)
	for {
		n, readErr := body.Read(buffer)
		if n > 0 {
			scan.feed(buffer[:n])
			if err := out.write(buffer[:n]); err != nil {
				return &attemptError{err: fmt.Errorf("%w: %v", errSink, err), ran: refusal.Unknown, started: answer.started}
			}
		}
		if readErr == io.EOF {
			break
		}
		if readErr != nil {
			return &attemptError{err: readErr, ran: refusal.Unknown, started: answer.started, retry: true}
		}
	}
	if !scan.complete() {
		return &attemptError{err: fmt.Errorf("%w: no final event", errTruncated), ran: refusal.Unknown, started: answer.started, retry: true}
	}
	if err := out.finish(); err != nil {
		return &attemptError{err: fmt.Errorf("%w: %v", errSink, err), ran: refusal.Complete, started: true}
	}
	return nil
}

type holdingSink struct {
	answer  *answerSink
	status  int
	header  map[string]string
	through bool
	held    []byte
}

func (h *holdingSink) write(p []byte) error {
	if !h.through && len(h.held)+len(p) <= holdBytes {
		h.held = append(h.held, p...)
		return nil
	}
	if err := h.start(); err != nil {
		return err
	}
	return h.answer.write(p)
}

// start passes on what was held, once.
func (h *holdingSink) start() error {
	h.through = true
	if err := h.answer.start(h.status, h.header); err != nil {
		return err
	}
	if len(h.held) == 0 {
		return nil
	}
	held := h.held
	h.held = nil
	return h.answer.write(held)
}

func (h *holdingSink) finish() error {
	if !h.answer.started {
		h.header["Content-Length"] = strconv.Itoa(len(h.held))
	}
	if err := h.start(); err != nil {
		return err
	}
	return h.answer.flush()
}
