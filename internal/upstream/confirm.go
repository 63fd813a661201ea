package upstream

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"geraniumturn.example/geraniumturn/internal/sockets"
)

const (
	// confirmTimeout bounds the confirmation of an end. It covers a sound target that is
	// silent for a while, and is shorter than the time in which one that has crashed is back.
	confirmTimeout = 2200 * time.Millisecond
	// drainTimeout bounds the rest of an answer whose connection may be reused.
	drainTimeout = 20 * time.Millisecond
)

// A body that has neither a length nor chunks ends with its connection, as it does when its
// process crashes. Two things show that such a body is whole: its connection was closed in
// order, and the process that sent it still answers requests.

// Confirmation is a GET request that only the process that sent a response answers as expected.
type Confirmation struct {
	RequestURI string
	Header     http.Header
	// Check returns an error unless the answer comes from that process.
	Check func(status int, header http.Header, body io.Reader) error
}

var (
	// errReset means that a connection did not end in order.
	errReset = errors.New("the response ended with its connection, which was reset")
	// errUnconfirmed means that nothing can tell whether the target still runs.
	errUnconfirmed = errors.New("the response ended with its connection, and the target has no request that confirms it")
	// errNoAnswer means that a target accepts no connection after the end of a response, or
	// closes it without an answer.
	errNoAnswer = errors.New("the response ended with its connection, and the target answers no other")
	// errOtherProcess means that something else answers at the address of a target.
	errOtherProcess = errors.New("the response ended with its connection, and another process answers at its address")
)

// confirmEnd returns an error unless an unframed body that has ended is whole. The pending
// error of a socket goes to the first call that asks for it, which may have been a write,
// and a read then returns the end of the stream; only the state of the connection tells.
func (o *Response) confirmEnd(ctx context.Context, r *Request) error {
	if o.end.State = sockets.StateOf(o.conn); o.end.State != sockets.PeerClosed {
		return errReset
	}
	if r.Confirm == nil {
		return errUnconfirmed
	}
	sinceData, known := sockets.SinceData(o.conn)
	ranAt := time.Now().Add(-sinceData)
	limited, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	err := o.pool.confirmRunning(limited, r)
	if known && errors.Is(err, errNoAnswer) && o.pool.makesProgress(ctx, r.Address, o.conn, ranAt) {
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
			return p.sendConfirmation(ctx, r, c)
		}
		if timeout, ok := errors.AsType[net.Error](err); !ok || !timeout.Timeout() || ctx.Err() != nil {
			return fmt.Errorf("%w: %v", errNoAnswer, err)
		}
		if r.OnSilence != nil {
			if err := r.OnSilence(); err != nil {
				return err
			}
		}
	}
}

// sendConfirmation sends the confirming request on a connection, and keeps the connection if
// the answer has arrived in full.
func (p *Pool) sendConfirmation(ctx context.Context, r *Request, c *conn) error {
	request := &Request{Method: http.MethodGet, RequestURI: r.Confirm.RequestURI, Host: r.Address, Header: r.Confirm.Header}
	if err := c.setRequestTimeout(ctx, false); err != nil {
		_ = c.Close()
		return fmt.Errorf("%w: %v", errNoAnswer, err)
	}
	var silenceErr error
	silent := func() (time.Duration, error) {
		if r.OnSilence != nil {
			silenceErr = r.OnSilence()
		}
		return unackedInterval, silenceErr
	}
	res := &Response{pool: p, address: r.Address, conn: c, written: make(chan struct{})}
	res.stopCancel = context.AfterFunc(ctx, func() { _ = c.abandon() })
	defer res.Close()
	p.begin(r.Address, c)
	err := writeAll(c, request.encode())
	if err == nil {
		close(res.written)
		// A full target may let the request wait as it does others.
		err = res.WatchSilence(time.Now().Add(unackedTimeout), silent)
	}
	if err == nil {
		err = res.readHead(request)
	}
	if err == nil {
		if checkErr := r.Confirm.Check(res.Status, res.Header, res); checkErr != nil {
			err = fmt.Errorf("%w: %v", errOtherProcess, checkErr)
		}
	} else {
		err = fmt.Errorf("%w: %v", errNoAnswer, err)
	}
	if err = cmp.Or(silenceErr, err); err != nil {
		return err
	}
	if !res.bodyRead && res.reusable && res.WatchSilence(time.Now().Add(drainTimeout), nil) == nil {
		// Only the reuse of the connection depends on the rest of the answer.
		_, _ = io.Copy(io.Discard, io.LimitReader(res, maxForeignBytes))
	}
	return nil
}
