package peer

import (
	"net"
	"sync"
)

// countingConn adds the bytes that a connection carries to the counters of its transport.
type countingConn struct {
	net.Conn
	t    *Transport
	once sync.Once
}

// countTraffic counts the connection as open until it is closed, and counts its bytes.
func (t *Transport) countTraffic(c net.Conn) net.Conn {
	t.connections.Add(1)
	return &countingConn{Conn: c, t: t}
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.t.received.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.t.sent.Add(int64(n))
	return n, err
}

func (c *countingConn) Close() error {
	c.once.Do(func() { c.t.connections.Add(-1) })
	return c.Conn.Close()
}

type countingListener struct {
	net.Listener
	t *Transport
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.t.countTraffic(c), nil
}
