package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"geraniumturn.example/geraniumturn/internal/sockets"
)

var (
	// ErrNotSent means that nothing was sent, so the request has not run. Usually no
	// connection was established.
	ErrNotSent = errors.New("upstream: connection not established")
	// ErrBroken means that the exchange was interrupted, so the request may have run.
	ErrBroken = errors.New("upstream: exchange interrupted")
)

const (
	// defaultIdleTime is how long an idle connection is kept if the target announces no
	// timeout.
	defaultIdleTime = 4 * time.Second
	// idleMargin is subtracted from the announced timeout to cover the network latency.
	idleMargin = 500 * time.Millisecond
	// maxIdlePerAddress bounds the idle connections to an address.
	maxIdlePerAddress = 48
	// idleAckTimeout closes an idle connection whose peer acknowledges nothing.
	idleAckTimeout = 1500 * time.Millisecond
	// settleTime is how long a connection must stay open to show that its target accepts it.
	settleTime    = 50 * time.Millisecond
	bufferBytes   = 8 << 10
	sweepInterval = time.Second
)

// errClosedAtOnce means that a connection was accepted and closed, or that something arrived
// on it before a request was sent.
var errClosedAtOnce = errors.New("upstream: connection closed at once")

// Pool keeps idle connections by address.
type Pool struct {
	// DialTimeout bounds the time to establish a connection.
	DialTimeout time.Duration
	// OnDial is called for each new connection, if it is set.
	OnDial func()
	// OnPath is called with what a connection shows about the path to an address, if it is
	// set: an error if it is not established or Connect returns one, and nil at its first
	// response or when Connect has opened it. openedAt is zero if it was not established.
	OnPath func(address string, openedAt time.Time, err error)

	mu   sync.Mutex
	idle map[string][]*conn
	// active are the connections with an exchange in progress, by address.
	active    map[string]map[*conn]bool
	lastSweep time.Time
}

// NewPool returns an empty pool.
func NewPool(dialTimeout time.Duration) *Pool {
	return &Pool{DialTimeout: dialTimeout, idle: map[string][]*conn{}, active: map[string]map[*conn]bool{}}
}

type conn struct {
	*net.TCPConn
	source headLimiter
	reader *bufio.Reader // reads from source
	used   bool          // a request was sent on the connection before
	// openedAt is when the connection was established.
	openedAt time.Time
	received atomic.Int64 // bytes that were read
	// onSilence is called at the read deadline; nil if there is none.
	onSilence func() (time.Duration, error)
	// expires is when the peer may close the idle connection.
	expires   time.Time
	idleSince time.Time
}

// get returns a connection that has been idle for at most maxIdle, or a new one.
func (p *Pool) get(ctx context.Context, address string, maxIdle, dialTimeout time.Duration) (*conn, error) {
	now := time.Now()
	for {
		c := p.takeIdle(address, now, maxIdle)
		if c == nil {
			return p.dial(ctx, address, dialTimeout)
		}
		if c.noInput() {
			return c, nil
		}
		_ = c.Close()
	}
}

func (p *Pool) takeIdle(address string, now time.Time, maxIdle time.Duration) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	if now.Sub(c.idleSince) > maxIdle {
		return nil
	}
	p.idle[address] = list[:len(list)-1]
	if now.After(c.expires) {
		_ = c.Close()
		return nil
	}
	return c
}

func (p *Pool) dial(caller context.Context, address string, timeout time.Duration) (*conn, error) {
	ctx, cancel := context.WithTimeout(caller, timeout)
	defer cancel()
	dialed, err := sockets.Dialer(idleAckTimeout).DialContext(ctx, "tcp", address)
	if err != nil {
		if caller.Err() == nil {
			p.recordPath(address, time.Time{}, err)
		}
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if p.OnDial != nil {
		p.OnDial()
	}
	raw, ok := dialed.(*net.TCPConn)
	if !ok {
		return nil, errors.Join(fmt.Errorf("%w: not a TCP connection: %T", ErrNotSent, dialed), dialed.Close())
	}
	c := &conn{TCPConn: raw, openedAt: time.Now()}
	c.source.Reader = c
	c.reader = bufio.NewReaderSize(&c.source, bufferBytes)
	return c, nil
}

// headLimiter bounds the bytes that are read while a limit is set: a response head is
// parsed in memory, and a faulty target may send one without end.
type headLimiter struct {
	io.Reader
	limited bool
	left    int
}

func (l *headLimiter) Read(b []byte) (int, error) {
	if !l.limited {
		return l.Reader.Read(b)
	}
	if l.left <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := l.Reader.Read(b[:min(len(b), l.left)])
	l.left -= n
	return n, err
}

// Read reads from the connection. It calls onSilence at the read deadline and then waits
// for the time that onSilence returns, or without a limit if it is 0.
func (c *conn) Read(b []byte) (int, error) {
	for {
		n, err := c.TCPConn.Read(b)
		c.received.Add(int64(n))
		if n > 0 || c.onSilence == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		if err := c.SetReadDeadline(time.Time{}); err != nil {
			return 0, err
		}
		switch sockets.Peek(c) {
		case sockets.Data, sockets.End: // this process was paused, not the peer
			continue
		}
		wait, err := c.onSilence()
		if err != nil {
			return 0, err
		}
		if wait == 0 {
			continue
		}
		if err := c.SetReadDeadline(time.Now().Add(wait)); err != nil {
			return 0, err
		}
	}
}

// noInput reports whether nothing has arrived on an idle connection, neither data nor
// the end of the stream.
func (c *conn) noInput() bool { return c.reader.Buffered() == 0 && sockets.Peek(c) == sockets.NoInput }

// Connect opens a connection to an address and keeps it for the next request. It returns an
// error if the connection is closed at once: something on the path may accept connections
// for a target that it does not reach.
func (p *Pool) Connect(ctx context.Context, address string) error {
	c, err := p.dial(ctx, address, p.DialTimeout)
	if err != nil {
		return err
	}
	timer := time.NewTimer(settleTime)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	if !c.noInput() {
		err := errors.Join(errClosedAtOnce, c.Close())
		p.recordPath(address, c.openedAt, err)
		return err
	}
	p.recordPath(address, c.openedAt, nil)
	p.putIdle(address, c, defaultIdleTime)
	return nil
}

func (p *Pool) recordPath(address string, openedAt time.Time, err error) {
	if p.OnPath != nil {
		p.OnPath(address, openedAt, err)
	}
}

// putIdle adds an idle connection to the pool for the given time.
func (p *Pool) putIdle(address string, c *conn, idle time.Duration) {
	now := time.Now()
	c.idleSince, c.expires, c.onSilence = now, now.Add(idle), nil
	if err := errors.Join(c.SetDeadline(time.Time{}), c.setAckTimeout(idleAckTimeout)); err != nil {
		_ = c.Close()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[address]) >= maxIdlePerAddress {
		_ = c.Close()
		return
	}
	p.idle[address] = append(p.idle[address], c)
	if now.Sub(p.lastSweep) > sweepInterval {
		p.lastSweep = now
		p.sweep(now)
	}
}

// sweep closes expired connections. p.mu must be held.
func (p *Pool) sweep(now time.Time) {
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.After(c.expires) {
				_ = c.Close()
				continue
			}
			kept = append(kept, c)
		}
		if len(kept) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = kept
	}
}

// CloseIdle closes the idle connections to an address.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[address] {
		_ = c.Close()
	}
	delete(p.idle, address)
}
