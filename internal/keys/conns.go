package keys

import (
	"context"
	"net"
	"net/http"
	"sync"
)

// connTracker records which keys each client connection has carried, so that
// keep-alive connections of a withdrawn key are closed. A connection with an
// active request is closed only when that request ends, because the response
// tells the caller whether the request ran. A connection that also carried a
// valid key stays open, because closing it could cut off a request of that key.
type connTracker struct {
	mu    sync.Mutex
	conns map[net.Conn]*trackedConn
	byKey map[string]map[net.Conn]struct{}
}

type trackedConn struct {
	// withdrawn maps each key id seen on the connection to whether it is withdrawn.
	withdrawn map[string]bool
	idle      bool
}

// allWithdrawn reports whether the connection carried at least one key and all
// keys that it carried are withdrawn.
func (c *trackedConn) allWithdrawn() bool {
	for _, withdrawn := range c.withdrawn {
		if !withdrawn {
			return false
		}
	}
	return len(c.withdrawn) > 0
}

type connContextKey struct{}

// ConnContext stores the connection in the context of its requests, where
// TrackConn finds it. It is meant for http.Server.ConnContext.
func (t *Table) ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connContextKey{}, c)
}

// ConnState updates or removes a tracked connection when its state changes. It is
// meant for http.Server.ConnState.
func (t *Table) ConnState(c net.Conn, state http.ConnState) { t.conns.setState(c, state) }

// TrackConn records that the connection of the request context carries the key.
// If the key was withdrawn between Check and TrackConn, the connection is closed as it
// would be for a withdrawal after TrackConn.
func (t *Table) TrackConn(ctx context.Context, id string) {
	c, ok := ctx.Value(connContextKey{}).(net.Conn)
	if !ok {
		return
	}
	t.conns.track(c, id)
	if t.IsWithdrawn(id) { // withdrawn since Check
		t.conns.withdraw(id)
	}
}

func (t *connTracker) track(c net.Conn, id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conns == nil {
		t.conns, t.byKey = map[net.Conn]*trackedConn{}, map[string]map[net.Conn]struct{}{}
	}
	if t.conns[c] == nil {
		t.conns[c] = &trackedConn{withdrawn: map[string]bool{}}
	}
	if _, exists := t.conns[c].withdrawn[id]; !exists {
		t.conns[c].withdrawn[id] = false
	}
	if t.byKey[id] == nil {
		t.byKey[id] = map[net.Conn]struct{}{}
	}
	t.byKey[id][c] = struct{}{}
}

func (t *connTracker) setState(c net.Conn, state http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	tracked := t.conns[c]
	if tracked == nil {
		return
	}
	switch state {
	case http.StateIdle:
		if tracked.idle = true; tracked.allWithdrawn() {
			_ = c.Close()
		}
	case http.StateActive:
		tracked.idle = false
	case http.StateClosed, http.StateHijacked:
		for id := range tracked.withdrawn {
			if delete(t.byKey[id], c); len(t.byKey[id]) == 0 {
				delete(t.byKey, id)
			}
		}
		delete(t.conns, c)
	}
}

func (t *connTracker) withdraw(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.byKey[id] {
		tracked := t.conns[c]
		tracked.withdrawn[id] = true
		if tracked.idle && tracked.allWithdrawn() {
			_ = c.Close()
		}
	}
}
