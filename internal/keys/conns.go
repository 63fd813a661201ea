package keys

import (
	"context"
	"net"
	"net/http"
	"sync"
)

// connections knows which callers' connections carried which keys, so that
// kept-alive connections of a withdrawn key are closed. A connection in the
// middle of a request is closed when that request is over, because its caller
// is still told whether the request ran. A connection that also carried a key
// that holds stays open, because closing it could cut a request of that key.
type connections struct {
	mu    sync.Mutex
	known map[net.Conn]*connection
	byKey map[string]map[net.Conn]struct{}
}

type connection struct {
	// withdrawn tells for each key that was used whether it is withdrawn.
	withdrawn map[string]bool
	idle      bool
}

// over reports whether all keys of the connection are withdrawn.
func (c *connection) over() bool {
	for _, withdrawn := range c.withdrawn {
		if !withdrawn {
			return false
		}
	}
	return len(c.withdrawn) > 0
}

type connectionKey struct{}

// ConnContext makes a connection known to the handlers of its requests; it is
// meant for http.Server.ConnContext.
func (t *Table) ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, c)
}

// ConnState follows connections; it is meant for http.Server.ConnState.
func (t *Table) ConnState(c net.Conn, state http.ConnState) { t.conns.state(c, state) }

// TrackConn notes that the connection of the request context carries the key.
func (t *Table) TrackConn(ctx context.Context, id string) {
	c, ok := ctx.Value(connectionKey{}).(net.Conn)
	if !ok {
		return
	}
	t.conns.use(c, id)
	if t.IsWithdrawn(id) { // withdrawn between the check of the key and use
		t.conns.end(id)
	}
}

func (s *connections) use(c net.Conn, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.known == nil {
		s.known, s.byKey = map[net.Conn]*connection{}, map[string]map[net.Conn]struct{}{}
	}
	if s.known[c] == nil {
		s.known[c] = &connection{withdrawn: map[string]bool{}}
	}
	if _, seen := s.known[c].withdrawn[id]; !seen {
		s.known[c].withdrawn[id] = false
	}
	if s.byKey[id] == nil {
		s.byKey[id] = map[net.Conn]struct{}{}
	}
	s.byKey[id][c] = struct{}{}
}

func (s *connections) state(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.known[c]
	if known == nil {
		return
	}
	switch state {
	case http.StateIdle:
		if known.idle = true; known.over() {
			_ = c.Close()
		}
	case http.StateActive:
		known.idle = false
	case http.StateClosed, http.StateHijacked:
		for id := range known.withdrawn {
			if delete(s.byKey[id], c); len(s.byKey[id]) == 0 {
				delete(s.byKey, id)
			}
		}
		delete(s.known, c)
	}
}

func (s *connections) end(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.byKey[id] {
		known := s.known[c]
		known.withdrawn[id] = true
		if known.idle && known.over() {
			_ = c.Close()
		}
	}
}
