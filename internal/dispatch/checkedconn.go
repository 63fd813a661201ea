package dispatch

import (
	"context"
	"net"
	"sync"

	"geraniumturn.example/geraniumturn/internal/responsehead"
)

// checkedConn is a connection to a target on which a malformed response ends the reading:
// net/http would take it for a response.
type checkedConn struct {
	net.Conn
	mu      sync.Mutex
	checker responsehead.Checker
}

func dialChecked(d *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &checkedConn{Conn: conn}, nil
	}
}

// beginExchange says that a request is about to be sent on a connection.
func beginExchange(conn net.Conn, method string) {
	if c, ok := conn.(*checkedConn); ok {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.checker.Begin(method)
	}
}

func (c *checkedConn) Read(b []byte) (int, error) {
	if err := c.failed(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	passed, malformed := c.checker.Take(b[:n])
	if malformed != nil && passed == 0 {
		return 0, malformed
	}
	if malformed != nil {
		return passed, nil // the next read fails
	}
	return n, err
}

func (c *checkedConn) failed() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.checker.Err()
}
