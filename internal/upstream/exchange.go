package upstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"geraniumturn.example/geraniumturn/internal/recovery"
	"geraniumturn.example/geraniumturn/internal/sockets"
)

const (
	// maxForeignResponses bounds the responses to other requests that are skipped.
	maxForeignResponses = 3
	// maxForeignBytes bounds the body of such a response.
	maxForeignBytes = 1 << 20
	// maxHeadBytes bounds what is read before the headers of a response have ended,
	// interim responses included.
	maxHeadBytes = 64 << 10
	// writeGrace is how long to wait for the end of the write after the response has
	// ended. A target that responded early may never read the rest of the request.
	writeGrace = 2 * time.Millisecond
	// recentConnIdle is the maximum idle time of a reused connection for RecentConnOnly
	// requests. The peer may be closing a connection that has been idle for longer.
	recentConnIdle = 2 * time.Second
)

// errHeadTooLarge means that the head of a response exceeds maxHeadBytes.
var errHeadTooLarge = errors.New("response head too large")

// Request is one request to one address.
type Request struct {
	Address string
	Method  string
	// RequestURI is the unmodified request target of the request line.
	RequestURI string
	Host       string
	Header     http.Header
	Body       []byte
	// RecentConnOnly restricts reuse to connections that were used recently. If an older
	// connection breaks, it is unknown whether the request ran.
	RecentConnOnly bool
	// DialTimeout bounds the time to establish a connection if it is shorter than that of the
	// pool; 0 if it is not needed.
	DialTimeout time.Duration
	// Repeatable requests can be sent to another target when this one acknowledges nothing.
	Repeatable bool
	// BeforeWrite is called when there is a connection, right before the request is written;
	// nil if it is not needed. An error ends the exchange and nothing is sent. AfterWrite is
	// called after the write, however it ended.
	BeforeWrite func() error
	AfterWrite  func()
	// OnSilence is called while the target has not acknowledged the request for a second or
	// so, and while it does not answer Confirm; nil if it is not needed. An error ends the
	// exchange.
	OnSilence func() error
	// Confirm is sent when a response has ended with its connection, which happens as well
	// when its process crashes. If it is nil, such a response counts as broken off.
	Confirm *Confirmation
	// Match tells which request a response belongs to. If it is nil, every response
	// belongs to this one.
	Match func(status int, header http.Header) Match
}

// Match is which request a response belongs to.
type Match uint8

// The matches.
const (
	// Own responses belong to this request.
	Own Match = iota
	// Foreign responses belong to another request.
	Foreign
	// Unidentified responses name no request. They count as this request's only as the
	// first response on a connection: later ones may repeat an earlier response.
	Unidentified
)

// Response is a response whose body has not been read yet.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body, or -1 if unknown.
	Length int64
	// Unframed means that the body has neither a length nor chunks and ends with its
	// connection.
	Unframed bool

	pool       *Pool
	address    string
	conn       *conn
	body       io.Reader
	reusable   bool
	written    chan struct{} // closed when the whole request is written
	stopCancel func() bool
	bodyRead   bool
	// confirm checks an unframed body that has ended; nil if there is nothing to check.
	confirm    func() error
	end        End
	writeError atomic.Pointer[error]
}

// End is what showed the end of a body that has neither a length nor chunks.
type End struct {
	// State is that of the connection when nothing was left to read.
	State sockets.State
	// Err says why it is not taken for the end of the body; nil if it is.
	Err error
	// Took is how long it took to find out.
	Took time.Duration
}

// End returns how an unframed body ended, and false as long as it has not.
func (o *Response) End() (End, bool) { return o.end, o.end.State != sockets.UnknownState }

// WriteError returns the error of the write of the request, or nil.
func (o *Response) WriteError() error {
	if err := o.writeError.Load(); err != nil {
		return *err
	}
	return nil
}

// Do sends the request and returns when the headers of the response have arrived.
// Cancelling ctx closes the connection, also while the body is read.
func (p *Pool) Do(ctx context.Context, r *Request) (*Response, error) {
	maxIdle := defaultIdleTime
	if r.RecentConnOnly {
		maxIdle = recentConnIdle
	}
	dialTimeout := p.DialTimeout
	if r.DialTimeout > 0 {
		dialTimeout = min(dialTimeout, r.DialTimeout)
	}
	c, err := p.get(ctx, r.Address, maxIdle, dialTimeout)
	if err != nil {
		return nil, err
	}
	if ctx.Err() != nil {
		_ = c.Close()
		return nil, fmt.Errorf("%w: %v", ErrNotSent, context.Cause(ctx))
	}
	if err := c.setRequestTimeout(ctx, r.Repeatable); err != nil {
		_ = c.Close()
		return nil, fmt.Errorf("%w: %v", ErrNotSent, err)
	}
	out := &Response{pool: p, address: r.Address, conn: c, written: make(chan struct{})}
	parts, began, writeFailed := r.encode(), make(chan error, 1), make(chan error, 1)
	go func() {
		if r.BeforeWrite != nil {
			if err := recovery.Do(r.BeforeWrite); err != nil {
				began <- err
				return
			}
		}
		close(began)
		err := writeAll(c, parts)
		if r.AfterWrite != nil {
			r.AfterWrite()
		}
		if err != nil {
			out.writeError.Store(&err)
			writeFailed <- err
			return
		}
		close(out.written)
	}()
	if err := <-began; err != nil {
		_ = c.Close()
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	out.stopCancel = context.AfterFunc(ctx, func() { _ = c.abandon() })
	p.begin(r.Address, c)
	fresh := !c.used
	if err := out.awaitHead(r); err != nil {
		_ = out.Close()
		select {
		case writeErr := <-writeFailed:
			err = errors.Join(err, writeErr)
		default:
		}
		return nil, fmt.Errorf("%w: %v", ErrBroken, err)
	}
	if fresh {
		p.recordPath(r.Address, c.openedAt, nil)
	}
	if out.Unframed {
		out.confirm = func() error { return out.confirmEnd(ctx, r) }
	}
	return out, nil
}

// encode returns the request as written to the connection. A body always has a
// Content-Length.
func (r *Request) encode() [][]byte {
	var b bytes.Buffer
	b.Grow(512 + min(len(r.Body), maxCopiedBody))
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.RequestURI, r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			b.WriteString(name)
			b.WriteString(": ")
			b.WriteString(v)
			b.WriteString("\r\n")
		}
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	if len(r.Body) > maxCopiedBody {
		return [][]byte{b.Bytes(), r.Body}
	}
	b.Write(r.Body)
	return [][]byte{b.Bytes()}
}

// maxCopiedBody is the size up to which a body is copied behind its head, so that both are
// written at once.
const maxCopiedBody = 64 << 10

func writeAll(w io.Writer, parts [][]byte) error {
	for _, p := range parts {
		if _, err := w.Write(p); err != nil {
			return err
		}
	}
	return nil
}

// awaitHead waits for the headers of the response.
func (o *Response) awaitHead(r *Request) error {
	if r.OnSilence == nil {
		return o.readHead(r)
	}
	if err := o.watchUnacked(r.OnSilence); err != nil {
		return err
	}
	err := o.readHead(r)
	return errors.Join(err, o.WatchSilence(time.Time{}, nil))
}

// Read reads the body. An error other than io.EOF means that the body is incomplete.
func (o *Response) Read(b []byte) (int, error) {
	n, err := o.body.Read(b)
	if err == io.EOF && o.confirm != nil {
		began := time.Now()
		o.end.Err = o.confirm()
		o.end.Took, o.confirm = time.Since(began), nil
	}
	if err == io.EOF && o.end.Err != nil {
		err = o.end.Err
	}
	switch {
	case err == io.EOF:
		o.bodyRead = true
	case err != nil:
		err = fmt.Errorf("%w: %v", ErrBroken, err)
	}
	return n, err
}

// Close returns the connection to the pool if the request was written and the response
// read completely. Otherwise it closes the connection, so that the target stops working
// on the request.
func (o *Response) Close() error {
	o.pool.end(o.address, o.conn)
	if !o.stopCancel() {
		return o.conn.abandon()
	}
	o.conn.used = true
	if o.bodyRead && o.reusable && o.wasWritten() && o.conn.reader.Buffered() == 0 {
		o.pool.putIdle(o.address, o.conn, o.keepAliveTime())
		return nil
	}
	return o.conn.abandon()
}

// wasWritten reports whether the whole request was written. It waits for writeGrace,
// because the writing goroutine may not have been scheduled since the response arrived.
func (o *Response) wasWritten() bool {
	timer := time.NewTimer(writeGrace)
	defer timer.Stop()
	select {
	case <-o.written:
		return true
	case <-timer.C:
		return false
	}
}

// keepAliveTime returns how long the connection may stay idle, by the timeout that the
// target announced in the Keep-Alive header.
func (o *Response) keepAliveTime() time.Duration {
	for _, field := range strings.Split(o.Header.Get("Keep-Alive"), ",") {
		if value, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout="); ok {
			if seconds, err := strconv.Atoi(value); err == nil {
				return max(0, time.Duration(seconds)*time.Second-idleMargin)
			}
		}
	}
	return defaultIdleTime
}
