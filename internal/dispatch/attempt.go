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

	"geraniumturn.example/geraniumturn/internal/bytebudget"
	"geraniumturn.example/geraniumturn/internal/refusal"
	"geraniumturn.example/geraniumturn/internal/rules"
	"geraniumturn.example/geraniumturn/internal/sockets"
	"geraniumturn.example/geraniumturn/internal/targets"
)

const (
	headerRequestID = "X-Request-Id"
	headerWorkspace = "Geraniumturn-Workspace"
	headerPriority  = "X-Priority"
	// headerNotRun is set to true by a target that refused the request without
	// running any part of it.
	headerNotRun = "Geraniumturn-Not-Run"

	connectTimeout = 2 * time.Second
	idleTimeout    = 60 * time.Second
	// maxBufferedResponseBytes limits the buffer for a response that is not
	// streamed. Such a response is sent to the caller once it is complete, so that
	// a truncated one can be retried. Larger responses are passed through as they
	// arrive.
	maxBufferedResponseBytes = 256 << 10
	copyBufferBytes          = 32 << 10
)

// requestHeaders lists the headers that are copied from the caller's request to a
// target.
var requestHeaders = []string{"Accept", "Accept-Language", "Content-Type"}

// responseHeaders lists the headers that are copied from a target's response to
// the caller.
var responseHeaders = []string{"Content-Type", "Content-Language", "Cache-Control", "Etag", "Location", "Retry-After"}

// AllowedHeaders returns the headers of a caller's request that may be passed to a
// target. All other headers are dropped, among them each that may hold a key.
func AllowedHeaders(h http.Header) map[string]string { return pickHeaders(h, requestHeaders) }

func pickHeaders(h http.Header, names []string) map[string]string {
	out := map[string]string{}
	for _, name := range names {
		if v := h.Get(name); v != "" {
			out[name] = v
		}
	}
	return out
}

// maxHeadBytes bounds the head of a response, interim responses included.
const maxHeadBytes = 64 << 10

// newTransport returns the HTTP transport for targets. When a reused connection
// fails, net/http sends the request again if its body can be rewound.
// nonRewindableBody prevents that. Each non-idempotent request also gets a new
// connection, since its transport has keepAlive unset.
func newTransport(keepAlive bool) *http.Transport {
	dialer := &net.Dialer{Timeout: connectTimeout}
	return &http.Transport{
		DialContext:         dialChecked(dialer),
		DisableKeepAlives:   !keepAlive,
		DisableCompression:  true,
		MaxIdleConnsPerHost: 256,
		IdleConnTimeout:     idleTimeout,

		MaxResponseHeaderBytes: maxHeadBytes,
	}
}

// nonRewindableBody is a request body that net/http cannot rewind, even if it is
// empty.
type nonRewindableBody struct{ io.Reader }

func (nonRewindableBody) Close() error { return nil }

// attemptError describes an attempt without a complete response.
type attemptError struct {
	err error
	// ran states whether the target ran the request, as far as the attempt shows.
	ran refusal.Ran
	// started is true when response bytes were sent to the caller.
	started bool
	// retryable is true when an attempt on another target may succeed.
	retryable bool
}

func (e *attemptError) Error() string { return e.err.Error() }
func (e *attemptError) Unwrap() error { return e.err }

var (
	errTruncated          = errors.New("dispatch: response is truncated")
	errUnframedEnd        = fmt.Errorf("%w: it ended with its connection", errTruncated)
	errMismatchedResponse = errors.New("dispatch: response belongs to another request")
	errTargetBusy         = errors.New("dispatch: target refused the request")
	errTargetFailed       = errors.New("dispatch: target failed")
	errCallerWrite        = errors.New("dispatch: write to the caller failed")
	errCallerLeft         = errors.New("dispatch: the caller has disconnected")
)

// client runs attempts on targets.
type client struct {
	pooled   *http.Client
	unpooled *http.Client
	buffers  bytebudget.Budget // of the parts of responses that are kept
}

func newClient() *client {
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &client{
		pooled:   &http.Client{Transport: newTransport(true), CheckRedirect: noRedirect},
		unpooled: &http.Client{Transport: newTransport(false), CheckRedirect: noRedirect},
	}
}

// attempt sends req to the target once and copies the response to out.
func (c *client) attempt(ctx context.Context, req *Request, target *targets.Target, out *responseSink) (Result, Outcome, error) {
	start := time.Now()
	outcome := Outcome{Request: req, Target: target.Name, Incarnation: target.Incarnation}
	if sockets.IsClosed(ctx) {
		// The context ends only when a goroutine has read the end of the connection.
		outcome.Cancelled = true
		return Result{}, outcome, &attemptError{err: errCallerLeft, ran: refusal.NotRun}
	}
	var connected, reused atomic.Bool
	trace := &httptrace.ClientTrace{
		GotConn: func(c httptrace.GotConnInfo) {
			connected.Store(true)
			reused.Store(c.Reused)
			beginExchange(c.Conn, req.Method)
		},
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
	result, err := receive(req, target, response, out, reused.Load(), &c.buffers)
	outcome.Duration = time.Since(start)
	outcome.Complete = err == nil
	outcome.Cancelled = err != nil && (ctx.Err() != nil || errors.Is(err, errCallerWrite))
	outcome.ConnectionFailed = errors.Is(err, errTruncated) && !outcome.Cancelled
	return result, outcome, err
}

func sendError(err error, sent bool) error {
	if !sent {
		return &attemptError{err: fmt.Errorf("%w: %v", errTargetFailed, err), ran: refusal.NotRun, retryable: true}
	}
	return &attemptError{err: fmt.Errorf("%w: %v", errTargetFailed, err), ran: refusal.Unknown, retryable: true}
}

func (c *client) send(ctx context.Context, req *Request, target *targets.Target, sink *responseSink) (*http.Response, error) {
	url := "http://" + target.Address + req.Path
	if req.Query != "" {
		url += "?" + req.Query
	}
	out, err := http.NewRequestWithContext(ctx, req.Method, url, nonRewindableBody{bytes.NewReader(req.Body)})
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
	if sink.started {
		out.Header.Set(headerResumeAfter, strconv.Itoa(sink.eventsSent))
	}
	if req.Idempotent {
		return c.pooled.Do(out)
	}
	return c.unpooled.Do(out)
}

func priority(class rules.Class) string {
	if class == rules.Batch {
		return "10"
	}
	return "0"
}

// receive checks the response and copies it to out. reusedConn means that the connection
// has had other requests.
func receive(req *Request, target *targets.Target, response *http.Response, out *responseSink, reusedConn bool, buffers *bytebudget.Budget) (Result, error) {
	got := response.Header.Get(headerRequestID)
	if got != req.ID && (got != "" || target.HasFeature("echo_request_id")) {
		return Result{}, &attemptError{err: fmt.Errorf("%w: %q", errMismatchedResponse, got), ran: refusal.Unknown, retryable: true}
	}
	if failed := statusError(req, response); failed != nil {
		if got == "" && reusedConn {
			failed.ran = refusal.Unknown // it may repeat the refusal of an earlier request
		}
		return Result{}, failed
	}
	if out.started {
		if err := checkResumed(response, out.eventsSent); err != nil {
			return Result{}, err
		}
	}
	result := Result{Status: response.StatusCode, Target: target.Name}
	header := pickHeaders(response.Header, responseHeaders)
	if req.Method == http.MethodHead { // there is no body, whatever the head says of one
		if err := out.start(response.StatusCode, header); err != nil {
			return Result{}, &attemptError{err: fmt.Errorf("%w: %v", errCallerWrite, err), ran: refusal.Complete, started: true}
		}
		return result, nil
	}
	body := &responseReader{reader: response.Body, framed: response.ContentLength >= 0 || slices.Contains(response.TransferEncoding, "chunked")}
	scan := newScanner(req, response, buffers)
	defer scan.part.Release()
	out.beginAttempt(scan.isEventStream)
	if err := copyResponse(body, scan, out, response.StatusCode, header, req.Stream, buffers); err != nil {
		return Result{}, err
	}
	result.PromptTokens, result.CompletionTokens = scan.usage()
	return result, nil
}

// statusError turns refusals and failures of a target into attempt errors. For a
// non-idempotent request, which must not be retried, the target's response is
// passed on whatever its status is, unless the target states that it did not run
// the request.
func statusError(req *Request, response *http.Response) *attemptError {
	status := response.StatusCode
	overloaded := status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
	if overloaded && response.Header.Get(headerNotRun) == "true" {
		return &attemptError{err: fmt.Errorf("%w: status %d", errTargetBusy, status), ran: refusal.NotRun, retryable: true}
	}
	if req.Idempotent && (status >= 500 || status == http.StatusTooManyRequests) {
		return &attemptError{err: fmt.Errorf("%w: status %d", errTargetFailed, status), ran: refusal.Unknown, retryable: true}
	}
	return nil
}

// responseReader reports a response without declared length or chunked framing as
// truncated, because its end cannot be distinguished from a lost connection unless a
// terminating event shows it.
type responseReader struct {
	reader io.Reader
	framed bool
}

func (r *responseReader) Read(p []byte) (int, error) {
	n, err := r.reader.Read(p)
	if err == nil {
		return n, nil
	}
	if err == io.EOF && r.framed {
		return n, io.EOF
	}
	if err == io.EOF {
		return n, errUnframedEnd
	}
	return n, fmt.Errorf("%w: %v", errTruncated, err)
}

// copyResponse passes a streamed response on as it arrives. It buffers other
// responses up to maxBufferedResponseBytes, so that a truncated one can be retried
// before the caller gets any of it.
func copyResponse(body io.Reader, scan *usageScanner, response *responseSink, status int, header map[string]string, stream bool, buffers *bytebudget.Budget) error {
	out := &bufferingSink{response: response, status: status, header: header, passThrough: stream, part: buffers.Buffer()}
	defer out.part.Release()
	buffer := make([]byte, copyBufferBytes)
	for {
		n, readErr := body.Read(buffer)
		if n > 0 {
			scan.feed(buffer[:n])
			if err := out.write(buffer[:n]); err != nil {
				return &attemptError{err: fmt.Errorf("%w: %v", errCallerWrite, err), ran: refusal.Unknown, started: response.started}
			}
		}
		if readErr == io.EOF || readErr == errUnframedEnd && scan.terminatorEnded {
			break
		}
		if readErr != nil {
			return &attemptError{err: readErr, ran: refusal.Unknown, started: response.started, retryable: true}
		}
	}
	if !scan.complete() {
		return &attemptError{err: fmt.Errorf("%w: no terminating event", errTruncated), ran: refusal.Unknown, started: response.started, retryable: true}
	}
	if err := out.finish(); err != nil {
		return &attemptError{err: fmt.Errorf("%w: %v", errCallerWrite, err), ran: refusal.Complete, started: true}
	}
	return nil
}

// bufferingSink buffers a response until it is complete or larger than
// maxBufferedResponseBytes. With passThrough set it does not buffer.
type bufferingSink struct {
	response    *responseSink
	status      int
	header      map[string]string
	passThrough bool
	buffered    []byte
	part        bytebudget.Buffer // of buffered
}

func (h *bufferingSink) write(p []byte) error {
	if !h.passThrough && len(h.buffered)+len(p) <= maxBufferedResponseBytes && h.part.Resize(len(h.buffered)+len(p)) {
		h.buffered = append(h.buffered, p...)
		return nil
	}
	if err := h.start(); err != nil {
		return err
	}
	return h.response.write(p)
}

// start ends the buffering and writes what was buffered.
func (h *bufferingSink) start() error {
	h.passThrough = true
	if err := h.response.start(h.status, h.header); err != nil {
		return err
	}
	if len(h.buffered) == 0 {
		return nil
	}
	buffered := h.buffered
	h.buffered = nil
	defer h.part.Release()
	return h.response.write(buffered)
}

func (h *bufferingSink) finish() error {
	if !h.response.started {
		h.header["Content-Length"] = strconv.Itoa(len(h.buffered))
	}
	if err := h.start(); err != nil {
		return err
	}
	return h.response.flush()
}
