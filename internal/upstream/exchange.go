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
	"time"
)

const (
	// maxForeignResponses bounds the answers of other requests that are passed over.
	maxForeignResponses = 3
	// maxForeignBytes bounds the body of such an answer.
	maxForeignBytes = 1 << 20
	// writeGrace is the wait for the end of a write after the answer has ended. A
	// target that answered early may never read the rest.
	writeGrace = 2 * time.Millisecond
	// recentConnIdle is the longest idle time of a connection for a request that must
	// not be lost; the peer may be closing an older one.
	recentConnIdle = 2 * time.Second
)

// Request is one request to one address.
type Request struct {
	Address string
	Method  string
	// RequestURI is the request target as it stands in the request line.
	RequestURI string
	Host       string
	Header     http.Header
	Body       []byte
	// RecentConnOnly requests use only a connection that was in use lately, because a
	// break of an old one would leave their outcome unknown.
	RecentConnOnly bool
	// Matches reports whether an answer belongs to this request.
	Matches func(status int, header http.Header) bool
}

// Response is an answer whose body is still to be read.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body, or -1.
	Length int64

	pool       *Pool
	address    string
	conn       *conn
	body       io.ReadCloser
	reusable   bool
	written    chan struct{} // closed when the whole request is written
	stopCancel func() bool
	bodyRead   bool
}

// Do sends the request and returns when the head of its answer has arrived. ctx
// ends the whole exchange, also while the body is read.
func (p *Pool) Do(ctx context.Context, r *Request) (*Response, error) {
	maxAge := defaultIdleTime
	if r.RecentConnOnly {
		maxAge = recentConnIdle
	}
	c, err := p.get(ctx, r.Address, maxAge)
	if err != nil {
		return nil, err
	}
	if ctx.Err() != nil {
		_ = c.Close()
		return nil, fmt.Errorf("%w: %v", ErrNotSent, context.Cause(ctx))
	}
	out := &Response{pool: p, address: r.Address, conn: c, written: make(chan struct{})}
	out.stopCancel = context.AfterFunc(ctx, func() { _ = c.Close() })
	writeFailed := make(chan error, 1)
	go func() {
		if _, err := c.Write(r.encode()); err != nil {
			writeFailed <- err
			return
		}
		close(out.written)
	}()
	if err := out.readHead(r); err != nil {
		_ = out.Close()
		select {
		case writeErr := <-writeFailed:
			err = errors.Join(err, writeErr)
		default:
		}
		return nil, fmt.Errorf("%w: %v", ErrBroken, err)
	}
	return out, nil
}

// encode writes the head and the body. The body always has a length.
func (r *Request) encode() []byte {
	var b bytes.Buffer
	b.Grow(512 + len(r.Body))
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
	b.Write(r.Body)
	return b.Bytes()
}

// readHead reads answers until one belongs to the request.
func (o *Response) readHead(r *Request) error {
	request := &http.Request{Method: r.Method}
	for foreign := 0; ; {
		res, err := http.ReadResponse(o.conn.reader, request)
		if err != nil {
			return err
		}
		if res.StatusCode < http.StatusOK {
			continue
		}
		if r.Matches == nil || r.Matches(res.StatusCode, res.Header) {
			o.Status, o.Header, o.Length, o.body = res.StatusCode, res.Header, res.ContentLength, res.Body
			if res.ContentLength < 0 && len(res.TransferEncoding) == 0 {
				res.Close = true
			}
			o.reusable = !res.Close
			return nil
		}
		foreign++
		delimited := res.ContentLength >= 0 || len(res.TransferEncoding) > 0
		if foreign > maxForeignResponses || !delimited || res.Close {
			return fmt.Errorf("an answer to another request arrived")
		}
		if n, err := io.Copy(io.Discard, io.LimitReader(res.Body, maxForeignBytes)); err != nil || n == maxForeignBytes {
			return fmt.Errorf("an answer to another request did not end: %v", err)
		}
	}
}

// Read reads the body. An error other than io.EOF means that it is not whole.
func (o *Response) Read(b []byte) (int, error) {
	n, err := o.body.Read(b)
	switch {
	case err == io.EOF:
		o.bodyRead = true
	case err != nil:
		err = fmt.Errorf("%w: %v", ErrBroken, err)
	}
	return n, err
}

// Close ends the exchange: the connection is kept when both sides are done, and
// closed otherwise, which ends the target's work on the request.
func (o *Response) Close() error {
	if !o.stopCancel() {
		return o.conn.Close()
	}
	if o.bodyRead && o.reusable && o.wasWritten() && o.conn.reader.Buffered() == 0 {
		o.pool.putIdle(o.address, o.conn, o.keepAliveTime())
		return nil
	}
	return o.conn.Close()
}

// wasWritten reports whether the whole request is written. The goroutine that wrote
// it may not have run since the answer arrived.
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

// keepAliveTime is how long the target keeps the connection.
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
