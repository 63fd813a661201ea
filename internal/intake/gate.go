package intake

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"geraniumturn.example/geraniumturn/internal/sockets"
)

const (
	// linesPerSecond bounds the log lines about decisions.
	linesPerSecond = 20
	// usualHeadBytes of a head are within the charge of its connection. Of a larger one the
	// HTTP server holds up to headCopies while it reads it, charged in steps of headStepBytes.
	usualHeadBytes = 8 << 10
	headStepBytes  = 4 << 10
	headCopies     = 3
	// DiscardTime bounds the time in which the server reads on after a refusal, so that its
	// response is not lost in a reset of the connection.
	DiscardTime = time.Second
)

// errNoMemory ends a connection whose head finds no memory.
var errNoMemory = errors.New("intake: others use the memory")

// Gate carries out the decisions of an account on the connections of a process.
type Gate struct {
	Account *Account
	Log     *logrus.Logger
	started time.Time

	mu         sync.Mutex
	second     int64 // of the lines counted in lines
	lines      int
	suppressed int
}

// NewGate returns a gate with an account for the limits, and registers its gauges.
func NewGate(l Limits, log *logrus.Logger, registry metrics.Registry) *Gate {
	g := &Gate{Account: NewAccount(l), Log: log, started: time.Now()}
	gauge := func(name string, value func(Usage) int64) {
		metrics.NewRegisteredFunctionalGauge("intake."+name, registry, func() int64 { return value(g.Account.Usage()) })
	}
	gauge("bytes", func(u Usage) int64 { return u.Bytes })
	for c := range classes {
		gauge("connections."+c.String(), func(u Usage) int64 { return int64(u.Connections[c]) })
		gauge("refused."+c.String(), func(u Usage) int64 { return u.Refused[c] })
		gauge("closed."+c.String(), func(u Usage) int64 { return u.Closed[c] })
	}
	return g
}

// now is the time of this process; a suspended machine does not count it.
func (g *Gate) now() time.Duration { return time.Since(g.started) }

// Listen returns a listener whose connections the account counts.
func (g *Gate) Listen(l net.Listener, c Class) net.Listener { return &listener{l, g, c, false} }

// ListenRaw is Listen for connections that are not served by an HTTP server.
func (g *Gate) ListenRaw(l net.Listener, c Class) net.Listener { return &listener{l, g, c, true} }

type listener struct {
	net.Listener
	gate  *Gate
	class Class
	raw   bool
}

func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.gate.admit(raw, l.class, l.raw); c != nil {
			return c, nil
		}
	}
}

func (g *Gate) admit(raw net.Conn, class Class, noPhases bool) net.Conn {
	var address netip.Addr
	if a, ok := raw.RemoteAddr().(*net.TCPAddr); ok {
		address = a.AddrPort().Addr().Unmap()
	}
	now := g.now()
	h, closed := g.Account.Accept(now, class, address)
	g.end(now, closed, connectionBytes)
	if h == nil {
		abort(raw)
		g.report(Decision{Class: class, Address: address, Needed: connectionBytes})
		return nil
	}
	g.Account.mu.Lock()
	h.raw = noPhases
	g.Account.mu.Unlock()
	h.attach(func() { abort(raw) }, func() bool {
		c, ok := raw.(syscall.Conn)
		return ok && sockets.Peek(c) == sockets.Data
	})
	return &Conn{Conn: raw, gate: g, holder: h}
}

// abort closes a connection without waiting until its data has been sent.
func abort(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // then its data is sent first
	}
	_ = c.Close() // it may be closed already
}

// end closes connections that have lost their place.
func (g *Gate) end(now time.Duration, closed []*Holder, needed int64) {
	for _, h := range closed {
		h.close()
		g.report(h.decision(now, true, needed))
	}
}

// report logs a decision, or counts it if there are many.
func (g *Gate) report(d Decision) {
	second := int64(g.now() / time.Second)
	g.mu.Lock()
	if second != g.second {
		g.second, g.lines = second, 0
	}
	if g.lines++; g.lines > linesPerSecond {
		g.suppressed++
		g.mu.Unlock()
		return
	}
	suppressed := g.suppressed
	g.suppressed = 0
	g.mu.Unlock()
	what := "refused"
	if d.Closed {
		what = "closed"
	}
	g.Log.WithFields(logrus.Fields{"decision": what, "class": d.Class.String(), "address": d.Address.String(), "workspace": d.Workspace, "phase": d.Phase.String(),
		"held": d.Held, "needed": d.Needed, "quiet_ms": d.Quiet.Milliseconds(), "used": g.Account.Usage().Bytes, "suppressed": suppressed}).Warn("intake")
}

// Conn is a connection that the account counts.
type Conn struct {
	net.Conn
	gate   *Gate
	holder *Holder
	// headBytes have been read of the head that is arriving, headCharged are charged. Only
	// the goroutine that reads heads uses them.
	headBytes, headCharged int
}

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 {
		return n, err
	}
	now := c.gate.now()
	c.holder.Received(now, n)
	if !c.holder.raw && Phase(c.holder.phase.Load()) == Head {
		if c.headBytes += n; c.headBytes > max(usualHeadBytes, c.headCharged) {
			c.headCharged = c.headBytes + headStepBytes
			closed, ok := c.holder.GrowHead(now, int64(headCopies*c.headCharged))
			c.gate.end(now, closed, headStepBytes)
			if !ok {
				c.gate.report(c.holder.decision(now, false, headStepBytes))
				return 0, errNoMemory
			}
		}
	}
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	c.holder.writeAt.Store(max(1, int64(c.gate.now())))
	n, err := c.Conn.Write(b)
	c.holder.writeAt.Store(0)
	return n, err
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.holder.Release()
	return c.Conn.Close()
}

// SetState is told of the states of a connection by its HTTP server.
func SetState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*Conn)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		c.headBytes, c.headCharged = 0, 0
		c.holder.EndRequest(c.gate.now())
	case http.StateClosed, http.StateHijacked:
		c.holder.Release()
	}
}

type contextKey struct{}

// Request is the account of the request in a context. Nil counts nothing.
type Request struct {
	gate   *Gate
	holder *Holder
}

// WithConn returns a context for the requests of a connection, for ConnContext of a
// http.Server.
func WithConn(ctx context.Context, conn net.Conn) context.Context {
	if c, ok := conn.(*Conn); ok {
		return context.WithValue(ctx, contextKey{}, &Request{c.gate, c.holder})
	}
	return ctx
}

// FromContext returns the request of a context, or nil.
func FromContext(ctx context.Context) *Request {
	r, _ := ctx.Value(contextKey{}).(*Request)
	return r
}

// Begin charges a request that is sent on. It reports false if it must be refused, before
// anything of it is sent.
func (r *Request) Begin() bool { return r.begin((*Holder).BeginRequest) }

func (r *Request) begin(charge func(*Holder, time.Duration) ([]*Holder, bool)) bool {
	if r == nil {
		return true
	}
	now := r.gate.now()
	closed, ok := charge(r.holder, now)
	return r.done(now, closed, ok, requestBytes)
}

// Resize sets the memory of the body beyond its first buffer, in bytes. It reports false, and
// keeps what is held, if the memory does not suffice.
func (r *Request) Resize(size int64) bool {
	if r == nil {
		return true
	}
	now := r.gate.now()
	closed, ok := r.holder.GrowBody(now, size)
	return r.done(now, closed, ok, size)
}

func (r *Request) done(now time.Duration, closed []*Holder, ok bool, needed int64) bool {
	r.gate.end(now, closed, needed)
	if !ok {
		r.gate.report(r.holder.decision(now, false, needed))
	}
	return ok
}

// SetWorkspace tells for whom the request is.
func (r *Request) SetWorkspace(name string) {
	if r != nil {
		r.holder.SetWorkspace(name)
	}
}

// BeginBody tells that the body begins to arrive.
func (r *Request) BeginBody() {
	if r != nil {
		r.holder.BeginBody(r.gate.now())
	}
}

// EndBody tells that the body has ended, and whether it was read whole. It reports false if its
// connection was closed meanwhile.
func (r *Request) EndBody(whole bool) bool {
	if r == nil {
		return true
	}
	r.holder.bodyRead.Store(whole)
	return r.holder.EndBody(r.gate.now())
}

// DiscardBodies bounds the time for which the server reads on after a response to a request
// whose body was not read, and lets its connection give way meanwhile.
func DiscardBodies(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(w, r)
		a := FromContext(r.Context())
		if r.ContentLength == 0 || a == nil || a.holder.bodyRead.Load() {
			return
		}
		a.BeginBody()
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(DiscardTime)) // not supported by test recorders
	})
}

// Handler refuses requests that find no memory with 503 before the handler gets them, which
// answers them in this process.
func Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !FromContext(r.Context()).begin((*Holder).BeginLocalRequest) {
			w.Header().Set("Connection", "close")
			w.Header().Set("Retry-After", "1")
			http.Error(w, errNoMemory.Error(), http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}
