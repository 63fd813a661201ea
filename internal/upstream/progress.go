package upstream

import (
	"context"
	"time"

	"geraniumturn.example/geraniumturn/internal/clock"
	"geraniumturn.example/geraniumturn/internal/sockets"
)

const (
	// progressTime is how long other exchanges with a target are watched for progress. It is
	// longer than the pauses of a stream.
	progressTime = 500 * time.Millisecond
	progressPoll = 10 * time.Millisecond
)

// begin and end record that an exchange uses a connection.
func (p *Pool) begin(address string, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.active[address] == nil {
		p.active[address] = map[*conn]bool{}
	}
	p.active[address][c] = true
}

func (p *Pool) end(address string, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if delete(p.active[address], c); len(p.active[address]) == 0 {
		delete(p.active, address)
	}
}

// makesProgress reports whether the process of which data arrived at ranAt runs although it
// answers no new connection: one that shuts down in order closes its listener, and completes its
// responses. This is shown by another exchange with it, on whose connection nothing was left to
// read, if data arrives there and the connection stays open. Data alone may have been delayed on
// the way since before the process ended, but then the end of the connection follows it. A
// connection that was opened after ranAt may be that of another process.
func (p *Pool) makesProgress(ctx context.Context, address string, ended *conn, ranAt time.Time) bool {
	watched := map[*conn]int64{}
	p.mu.Lock()
	for c := range p.active[address] {
		if c != ended && c.openedAt.Before(ranAt) && sockets.Peek(c) == sockets.NoInput {
			watched[c] = c.received.Load()
		}
	}
	p.mu.Unlock()
	for until := time.Now().Add(progressTime); len(watched) > 0 && time.Now().Before(until) && clock.Sleep(ctx, progressPoll); {
		for c, before := range watched {
			switch sockets.Peek(c) {
			case sockets.End, sockets.UnknownInput:
				delete(watched, c)
			default:
				if c.received.Load() > before && p.staysOpen(ctx, address, c) {
					return true
				}
			}
		}
	}
	return false
}

// staysOpen reports whether the exchange on a connection is still in progress, and the target
// has not closed it, after settleTime.
func (p *Pool) staysOpen(ctx context.Context, address string, c *conn) bool {
	if !clock.Sleep(ctx, settleTime) {
		return false
	}
	p.mu.Lock()
	isActive := p.active[address][c]
	p.mu.Unlock()
	return isActive && sockets.Peek(c) == sockets.NoInput
}
