package proctest

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Relay is a TCP proxy that injects network faults: it can cut, reset, blackhole or
// delay the connections that pass through it, and refuse or hang new ones.
type Relay struct {
	address     string
	destination string
	cut         atomic.Bool
	delay       atomic.Int64
	// dropLevel is 0 to forward all data, 1 to drop data towards the destination, and
	// 2 to drop data in both directions.
	dropLevel atomic.Int32

	mu    sync.Mutex
	conns map[net.Conn]struct{}
	// listener is nil while connections are refused. fillers occupy its queue while
	// connections hang; accepting is closed when they no longer do.
	listener  *net.TCPListener
	fillers   []net.Conn
	accepting chan struct{}
}

// NewRelay listens on one address and forwards its connections to another.
func NewRelay(listen, to string) (*Relay, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	r := &Relay{address: listener.Addr().String(), destination: to, conns: map[net.Conn]struct{}{}}
	r.listener = listener.(*net.TCPListener)
	go r.accept(r.listener)
	return r, nil
}

// Address returns the address that the relay listens on.
func (r *Relay) Address() string { return r.address }

// RefuseNew refuses new connections until AcceptNew. Open ones go on.
func (r *Relay) RefuseNew() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.listener == nil {
		return nil
	}
	err := errors.Join(r.endHang(), r.listener.Close())
	r.listener = nil
	return err
}

const (
	// fillTimeout bounds one attempt to fill the queue of the listener: it hangs when the
	// queue has become full meanwhile.
	fillTimeout = 20 * time.Millisecond
	// maxFillTime bounds all of them.
	maxFillTime = 10 * time.Second
)

// dialFiller opens a connection that occupies the queue of a listener.
var dialFiller = func(address string) (net.Conn, error) { return net.DialTimeout("tcp", address, fillTimeout) }

// HangNew makes attempts to connect hang until AcceptNew, as the queue of the listener is
// full. Open connections go on.
func (r *Relay) HangNew() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.listener == nil || r.accepting != nil {
		return nil
	}
	r.accepting = make(chan struct{})
	// The pending Accept returns and waits until connections no longer hang.
	if err := errors.Join(r.listener.SetDeadline(time.Now()), r.setBacklog(0)); err != nil {
		return err
	}
	for end := time.Now().Add(maxFillTime); time.Now().Before(end); {
		if full, err := r.queueIsFull(); full || err != nil {
			return err
		}
		// An attempt that fails may only have been slow.
		if c, err := dialFiller(r.address); err == nil {
			r.fillers = append(r.fillers, c)
		}
	}
	return fmt.Errorf("proctest: the queue of %s is not full after %s", r.address, maxFillTime)
}

// queueIsFull reports whether the kernel refuses further connections to the listener. r.mu
// must be held.
func (r *Relay) queueIsFull() (full bool, err error) {
	raw, err := r.listener.SyscallConn()
	if err != nil {
		return false, err
	}
	controlErr := raw.Control(func(fd uintptr) {
		var info *unix.TCPInfo
		if info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			// Of a listener these are the length of the queue and its limit.
			full = info.Unacked > info.Sacked
		}
	})
	return full, errors.Join(controlErr, err)
}

// setBacklog sets the length of the listener's queue. r.mu must be held.
func (r *Relay) setBacklog(n int) error {
	raw, err := r.listener.SyscallConn()
	if err != nil {
		return err
	}
	controlErr := raw.Control(func(fd uintptr) { err = unix.Listen(int(fd), n) })
	return errors.Join(controlErr, err)
}

// AcceptNew ends RefuseNew and HangNew.
func (r *Relay) AcceptNew() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.listener == nil {
		listener, err := net.Listen("tcp", r.address)
		if err != nil {
			return err
		}
		r.listener = listener.(*net.TCPListener)
		go r.accept(r.listener)
	}
	return r.endHang()
}

// endHang ends HangNew. r.mu must be held.
func (r *Relay) endHang() error {
	if r.accepting == nil {
		return nil
	}
	for _, c := range r.fillers {
		_ = c.Close()
	}
	r.fillers = nil
	err := errors.Join(r.setBacklog(unix.SOMAXCONN), r.listener.SetDeadline(time.Time{}))
	close(r.accepting)
	r.accepting = nil
	return err
}

// Cut closes all connections, and new ones as soon as they are accepted, until Heal.
func (r *Relay) Cut() {
	r.cut.Store(true)
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		_ = c.Close()
	}
}

// Heal ends Cut and Blackhole. A connection that has lost data in a blackhole stays
// blackholed in that direction until it is closed, since its byte stream has a gap.
func (r *Relay) Heal() {
	r.cut.Store(false)
	r.dropLevel.Store(0)
}

// Reset closes all connections; new ones are forwarded.
func (r *Relay) Reset() {
	r.Cut()
	r.cut.Store(false)
}

// Blackhole drops data without closing connections until Heal: only data towards the
// destination of the relay, or in both directions.
func (r *Relay) Blackhole(oneWay bool) {
	if oneWay {
		r.dropLevel.Store(1)
	} else {
		r.dropLevel.Store(2)
	}
}

// Delay adds a one-way delay to all data, in each direction.
func (r *Relay) Delay(d time.Duration) { r.delay.Store(int64(d)) }

// Close stops the relay and closes its connections.
func (r *Relay) Close() {
	_ = r.RefuseNew()
	r.Cut()
}

func (r *Relay) accept(listener net.Listener) {
	for {
		in, err := listener.Accept()
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded):
			r.awaitAccepting()
			continue
		case err != nil:
			return
		case r.cut.Load():
			_ = in.Close()
			continue
		}
		go r.connect(in)
	}
}

func (r *Relay) awaitAccepting() {
	r.mu.Lock()
	accepting := r.accepting
	r.mu.Unlock()
	if accepting != nil {
		<-accepting
	}
}

func (r *Relay) connect(in net.Conn) {
	out, err := net.Dial("tcp", r.destination)
	if err != nil {
		_ = in.Close()
		return
	}
	r.track(in, out)
	var directions sync.WaitGroup
	directions.Go(func() { r.copy(out, in, 1) })
	directions.Go(func() { r.copy(in, out, 2) })
	directions.Wait()
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

// chunk is data with the time at which it is to be written to the other end.
type chunk struct {
	due  time.Time
	data []byte
}

// copy forwards data after the delay. It reads on while earlier data waits, so that the
// delay does not limit the throughput. It drops data while dropLevel is at least
// minDropLevel, and from then on drops all data in this direction of the connection,
// also after Heal.
func (r *Relay) copy(to, from net.Conn, minDropLevel int32) {
	chunks := make(chan chunk, 1024)
	go func() {
		defer close(chunks)
		for {
			buffer := make([]byte, 32<<10)
			n, err := from.Read(buffer)
			if n > 0 {
				chunks <- chunk{time.Now().Add(time.Duration(r.delay.Load())), buffer[:n]}
			}
			if err != nil {
				return
			}
		}
	}()
	failed, dropping := false, false
	for c := range chunks {
		dropping = dropping || r.dropLevel.Load() >= minDropLevel
		if failed || dropping {
			continue
		}
		time.Sleep(time.Until(c.due))
		if _, err := to.Write(c.data); err != nil {
			failed = true
			_ = from.Close()
		}
	}
	if c, ok := to.(*net.TCPConn); ok && !failed {
		_ = c.CloseWrite()
	}
}
