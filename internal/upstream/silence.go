package upstream

import (
	"context"
	"errors"
	"fmt"
	"time"

	"golang.org/x/sys/unix"

	"geraniumturn.example/geraniumturn/internal/sockets"
)

const (
	// repeatableAckTimeout closes a connection that waits for the response to a repeatable
	// request and whose peer acknowledges nothing. A sound peer may be silent for a second
	// or so, and the time counts from its last segment.
	repeatableAckTimeout = 3 * time.Second
	// unackedTimeout is how long a request may be unacknowledged before OnSilence is called.
	unackedTimeout = 1200 * time.Millisecond
	// unackedInterval is the time between checks whether a request is acknowledged.
	unackedInterval = 400 * time.Millisecond
	// maxAckTimeout replaces the end of a context without a deadline.
	maxAckTimeout = time.Minute
)

// setAckTimeout sets how long the peer may acknowledge nothing before the connection is
// closed.
func (c *conn) setAckTimeout(d time.Duration) error { return sockets.SetUserTimeout(c.TCPConn, d) }

// setRequestTimeout sets the acknowledgement timeout for a request. If the request cannot
// be repeated, a shorter timeout than that of ctx would only lose its response.
func (c *conn) setRequestTimeout(ctx context.Context, repeatable bool) error {
	if repeatable {
		return c.setAckTimeout(repeatableAckTimeout)
	}
	return c.setAckTimeout(timeLeft(ctx))
}

func timeLeft(ctx context.Context) time.Duration {
	if deadline, ok := ctx.Deadline(); ok {
		return min(maxAckTimeout, max(time.Millisecond, time.Until(deadline)))
	}
	return maxAckTimeout
}

// unacked returns how many bytes that were written are not acknowledged.
func (c *conn) unacked() (int, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	n, ioctlErr := 0, error(nil)
	if err := raw.Control(func(fd uintptr) { n, ioctlErr = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) }); err != nil {
		return 0, err
	}
	return n, ioctlErr
}

// abandon closes the connection. The kernel would go on sending what is not acknowledged,
// so that a silent target would get the request later; it is discarded with a reset.
func (c *conn) abandon() error {
	var err error
	if n, unackedErr := c.unacked(); unackedErr == nil && n > 0 { // an error means closed already
		err = c.SetLinger(0)
	}
	return errors.Join(err, c.Close())
}

// watchUnacked calls f, again and again, while the peer has acknowledged no further part
// of the request for unackedTimeout. An error of f ends the exchange.
func (o *Response) watchUnacked(f func() error) error {
	last, progressAt := -1, time.Now()
	return o.WatchSilence(progressAt.Add(unackedInterval), func() (time.Duration, error) {
		n, err := o.conn.unacked()
		if err != nil {
			return 0, err
		}
		if n == 0 && isClosed(o.written) { // keep-alive probes check the peer from now on
			return 0, nil
		}
		if last >= 0 && n != last {
			progressAt = time.Now()
		}
		last = n
		if time.Since(progressAt) >= unackedTimeout {
			err = f()
		}
		return unackedInterval, err
	})
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// WatchSilence makes reads call f if nothing arrives until the given time. f returns how
// much longer to wait, 0 for no limit, or the error that the read then returns.
func (o *Response) WatchSilence(until time.Time, f func() (time.Duration, error)) error {
	o.conn.onSilence = f
	if err := o.conn.SetReadDeadline(until); err != nil {
		return fmt.Errorf("%w: %v", ErrBroken, err)
	}
	return nil
}

// KeepFor keeps the connection of a response that can no longer be replaced, however long
// the target is silent.
func (o *Response) KeepFor(d time.Duration) error {
	return o.conn.setAckTimeout(min(maxAckTimeout, max(time.Millisecond, d)))
}
