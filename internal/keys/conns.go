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
// is still told whether the request ran.
type connections struct {
	mu    sync.Mutex
	known map[net.Conn]*connection
	byKey map[string]map[net.Conn]struct{}
}

type connection struct {
	keys    map[string]struct{}
	idle    bool
	closing bool
}

type connectionKey struct{}

// ConnContext makes a connection known to the handlers of its requests; it is
// meant for http.Server.ConnContext.
func (t *Table) ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, c)
}

// ConnState follows connections; it is meant for http.Server.ConnState.
func (t *Table) ConnState(c net.Conn, state http.ConnState) { t.conns.state(c, state) }

// Use notes that the connection of the request context carries the key.
func (t *Table) Use(ctx context.Context, id string) {
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
		s.known[c] = &connection{keys: map[string]struct{}{}}
	}
	s.known[c].keys[id] = struct{}{}
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
		if known.idle = true; known.closing {
			_ = c.Close()
		}
	case http.StateActive:
		known.idle = false
	case http.StateClosed, http.StateHijacked:
		for id := range known.keys {
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
		known.closing = true
		if known.idle {
			_ = c.Close()
		}
	}
}
