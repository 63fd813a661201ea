package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"geraniumturn.example/geraniumturn/internal/sockets"
)

// confirmInterval is the time between calls of OnSilence while a target does not answer the
// request that confirms the end of a response.
const confirmInterval = 300 * time.Millisecond

// A body that has neither a length nor chunks ends with its connection, as it does when its
// process crashes. Two things show that such a body is whole: its connection was closed in
// order, and the process that sent it still answers requests.

// Confirmation is a request that only the process that sent a response answers as expected.
type Confirmation struct {
	RequestURI string
	Header     http.Header
	// Check returns an error unless the response comes from that process.
	Check func(status int, header http.Header) error
}

var (
	// errReset means that a connection did not end in order.
	errReset = errors.New("the response ended with its connection, which was reset")
	// errUnconfirmed means that nothing can tell whether the target still runs.
	errUnconfirmed = errors.New("the response ended with its connection, and the target has no request that confirms it")
	// errNotRunning means that a target answers no request after the end of a response.
	errNotRunning = errors.New("the response ended with its connection, and the target answers no other")
	// errReplaced means that another process answers at the address of a target.
	errReplaced = errors.New("the response ended with its connection, and another process answers at its address")
)

// confirmEnd returns an error unless an unframed body that has ended is whole. The pending
// error of a socket goes to the first call that asks for it, which may have been a write or
// a peek, and a read then returns the end of the stream; only the state of the connection
// tells.
func (o *Response) confirmEnd(ctx context.Context, r *Request) error {
	if o.end.State = sockets.StateOf(o.conn); o.end.State != sockets.PeerClosed {
		return errReset
	}
	if r.Confirm == nil {
		return errUnconfirmed
	}
	err := o.pool.confirmRunning(ctx, r)
	if errors.Is(err, errNotRunning) && o.pool.makesProgress(ctx, r.Address, o.conn) {
		return nil
	}
	return err
}

// confirmRunning asks the process of a target whether it runs. A connection that opens does
// not show this: a relay, a supervisor or the backlog of a listener may have accepted it. A
// silent target is asked again.
func (p *Pool) confirmRunning(ctx context.Context, r *Request) error {
	for {
		c, err := p.dial(ctx, r.Address, p.DialTimeout)
		if err == nil {
			return p.ask(ctx, r, c)
		}
		if timeout, ok := errors.AsType[net.Error](err); !ok || !timeout.Timeout() || ctx.Err() != nil {
			return fmt.Errorf("%w: %v", errNotRunning, err)
		}
		if r.OnSilence != nil {
			if err := r.OnSilence(); err != nil {
				return err
			}
		}
	}
}

// ask sends the confirming request on a connection and keeps the connection if it was
// answered in full.
func (p *Pool) ask(ctx context.Context, r *Request, c *conn) error {
	question := &Request{Address: r.Address, Method: http.MethodGet, RequestURI: r.Confirm.RequestURI, Host: r.Address, Header: r.Confirm.Header}
	if err := c.setRequestTimeout(ctx, false); err != nil {
		_ = c.Close()
		return fmt.Errorf("%w: %v", errNotRunning, err)
	}
	var silenceErr error
	res := &Response{pool: p, address: r.Address, conn: c, written: make(chan struct{})}
	res.stopCancel = context.AfterFunc(ctx, func() { _ = c.abandon() })
	defer res.Close()
	p.begin(r.Address, c)
	err := writeAll(c, question.encode())
	if err == nil {
		close(res.written)
		err = res.WatchSilence(time.Now().Add(confirmInterval), func() (time.Duration, error) {
			if r.OnSilence != nil {
				silenceErr = r.OnSilence()
			}
			return confirmInterval, silenceErr
		})
	}
	if err == nil {
		err = res.readHead(question)
	}
	switch {
	case silenceErr != nil:
		return silenceErr
	case err != nil:
		return fmt.Errorf("%w: %v", errNotRunning, err)
	}
	if err := r.Confirm.Check(res.Status, res.Header); err != nil {
		return fmt.Errorf("%w: %v", errReplaced, err)
	}
	if res.reusable {
		// Only the reuse of the connection depends on the rest of the answer.
		_, _ = io.Copy(io.Discard, io.LimitReader(res, maxForeignBytes))
	}
	return nil
}
