package proctest

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Relay passes TCP connections on and can cut, reset, silence or delay them.
type Relay struct {
	listener net.Listener
	to       string
	cut      atomic.Bool
	delay    atomic.Int64
	silent   atomic.Int32

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// NewRelay listens on the address and passes connections on to another.
func NewRelay(listen, to string) (*Relay, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: listener, to: to, conns: map[net.Conn]struct{}{}}
	go r.accept()
	return r, nil
}

// Address is where the relay listens.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Cut breaks all connections and refuses new ones until Heal.
func (r *Relay) Cut() {
	r.cut.Store(true)
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		_ = c.Close()
	}
}

// Heal lets new connections through again. Connections that were silenced while data
// passed stay silent for good.
func (r *Relay) Heal() {
	r.cut.Store(false)
	r.silent.Store(0)
}

// Reset breaks all connections; new ones are let through.
func (r *Relay) Reset() {
	r.Cut()
	r.cut.Store(false)
}

// Blackhole drops data without a reset until Heal: towards the host alone, or both ways.
func (r *Relay) Blackhole(oneWay bool) {
	if oneWay {
		r.silent.Store(1)
	} else {
		r.silent.Store(2)
	}
}

// Delay adds a one-way delay to each piece of data.
func (r *Relay) Delay(d time.Duration) { r.delay.Store(int64(d)) }

// Close stops the relay.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.Cut()
}

func (r *Relay) accept() {
	for {
		in, err := r.listener.Accept()
		if err != nil {
			return
		}
		if r.cut.Load() {
			_ = in.Close()
			continue
		}
		go r.connect(in)
	}
}

func (r *Relay) connect(in net.Conn) {
	out, err := net.Dial("tcp", r.to)
	if err != nil {
		_ = in.Close()
		return
	}
	r.track(in, out)
	var both sync.WaitGroup
	both.Go(func() { r.copy(out, in, 1) })
	both.Go(func() { r.copy(in, out, 2) })
	both.Wait()
	r.untrack(in, out)
}

func (r *Relay) track(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		r.conns[c] = struct{}{}
		if r.cut.Load() {
			_ = c.Close()
		}
	}
}

func (r *Relay) untrack(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
		delete(r.conns, c)
	}
}

// piece is data with the time at which it is due at the other end.
type piece struct {
	due  time.Time
	data []byte
}

// copy passes data on after the delay. Reading goes on while earlier data
// waits, so that the delay does not limit the throughput. Data is dropped while the
// relay is silent to at least the degree, and ever after on that connection.
func (r *Relay) copy(to, from net.Conn, degree int32) {
	pieces := make(chan piece, 1024)
	go func() {
		defer close(pieces)
		for {
			buffer := make([]byte, 32<<10)
			n, err := from.Read(buffer)
			if n > 0 {
				pieces <- piece{time.Now().Add(time.Duration(r.delay.Load())), buffer[:n]}
			}
			if err != nil {
				return
			}
		}
	}()
	failed, dropped := false, false
	for p := range pieces {
		dropped = dropped || r.silent.Load() >= degree
		if failed || dropped {
			continue
		}
		time.Sleep(time.Until(p.due))
		if _, err := to.Write(p.data); err != nil {
			failed = true
			_ = from.Close()
		}
	}
	if c, ok := to.(*net.TCPConn); ok && !failed {
		_ = c.CloseWrite()
	}
}
