package proctest

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"geraniumturn.example/geraniumturn/internal/sockets"
	"golang.org/x/sys/unix"
)

// Relay is a TCP proxy that injects network faults: it can cut, reset, blackhole or
// delay the connections that pass through it, and refuse or hang new ones. It can also stand
// in front of a process that is gone: connections are accepted all the same.
type Relay struct {
	address     string
	destination string
	cut         atomic.Bool
	delay       atomic.Int64
	// dropLevel is 0 to forward all data, 1 to drop data towards the destination, and
	// 2 to drop data in both directions.
	dropLevel atomic.Int32
	// passesResets is set before the first connection.
	passesResets atomic.Bool

	mu    sync.Mutex
	conns map[net.Conn]struct{}
	// epoch counts the calls that ended all connections. A connection that was accepted
	// before such a call ends with the others.
	epoch int
	// aborted has the connections that are being reset.
	aborted map[net.Conn]struct{}
	// accepted is what happens to new connections; other replaces the destination, unless
	// it is "".
	accepted Accepted
	other    string
	// listener is nil while connections are refused. fillers occupy its queue while
	// connections hang; accepting is closed when they no longer do.
	listener  *net.TCPListener
	fillers   []net.Conn
	accepting chan struct{}
}

// Accepted is what a relay does with the connections that it accepts.
type Accepted int

const (
	// Forward forwards them.
	Forward Accepted = iota
	// CloseAccepted closes them at once, in order.
	CloseAccepted
	// ResetAccepted resets them at once.
	ResetAccepted
	// HoldAccepted neither reads from them nor answers.
	HoldAccepted
)

// NewRelay listens on one address and forwards its connections to another.
func NewRelay(listen, to string) (*Relay, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	r := &Relay{address: listener.Addr().String(), destination: to, conns: map[net.Conn]struct{}{}, aborted: map[net.Conn]struct{}{}}
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

// PassResets makes the relay pass on a reset of one side as a reset, and not as an orderly
// end, and read little ahead of the other side. It is called before the first connection.
func (r *Relay) PassResets() { r.passesResets.Store(true) }

// smallBuffer is the size of the buffers of a relay that reads little ahead.
const smallBuffer = 32 << 10

// Lose closes all connections in order, as the end of the process behind the relay does.
// Until Restore new ones are treated as given.
func (r *Relay) Lose(accepted Accepted) { r.lose(accepted, "") }

// Replace does the same, and forwards new connections to another process.
func (r *Relay) Replace(destination string) { r.lose(Forward, destination) }

func (r *Relay) lose(accepted Accepted, other string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.accepted, r.other = accepted, other
	r.epoch++
	for c := range r.conns {
		_ = c.Close()
	}
}

// Restore ends Lose and Replace, and the connections made meanwhile.
func (r *Relay) Restore() { r.lose(Forward, "") }

// Abort resets all connections on both sides; new ones are forwarded.
func (r *Relay) Abort() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.epoch++
	for c := range r.conns { // none may end in order because its other side has ended
		r.aborted[c] = struct{}{}
	}
	for c := range r.conns {
		abort(c)
	}
}

func abort(c net.Conn) {
	if c, ok := c.(*net.TCPConn); ok {
		_ = c.SetLinger(0)
	}
	_ = c.Close()
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
		r.mu.Lock()
		accepted, epoch, destination := r.accepted, r.epoch, r.destination
		if r.other != "" {
			destination = r.other
		}
		r.mu.Unlock()
		switch accepted {
		case Forward:
			go r.connect(in, destination, epoch)
		case CloseAccepted:
			_ = in.Close()
		case ResetAccepted:
			abort(in)
		case HoldAccepted:
			r.track(epoch, in)
		}
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

func (r *Relay) connect(in net.Conn, destination string, epoch int) {
	out, err := net.Dial("tcp", destination)
	if err != nil {
		_ = in.Close()
		return
	}
	if r.passesResets.Load() {
		_ = in.(*net.TCPConn).SetReadBuffer(smallBuffer)
		_ = out.(*net.TCPConn).SetWriteBuffer(smallBuffer)
	}
	r.track(epoch, in, out)
	var directions sync.WaitGroup
	directions.Go(func() { r.copy(out, in, 1) })
	directions.Go(func() { r.copy(in, out, 2) })
	directions.Wait()
	r.untrack(in, out)
}

// track adds connections that were accepted in an epoch.
func (r *Relay) track(epoch int, conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		r.conns[c] = struct{}{}
		if r.cut.Load() || epoch != r.epoch {
			_ = c.Close()
		}
	}
}

func (r *Relay) isAborted(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.aborted[c]
	return ok
}

func (r *Relay) untrack(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
		delete(r.conns, c)
		delete(r.aborted, c)
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
	ahead := 1024
	if r.passesResets.Load() {
		ahead = 1 // whoever sends waits for the other side, as without a relay
	}
	chunks := make(chan chunk, ahead)
	wasReset := false // set before chunks is closed
	go func() {
		defer close(chunks)
		for {
			buffer := make([]byte, 32<<10)
			n, err := from.Read(buffer)
			if n > 0 {
				chunks <- chunk{time.Now().Add(time.Duration(r.delay.Load())), buffer[:n]}
			}
			if err != nil {
				wasReset = r.passesResets.Load() && endedByReset(from, err)
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
			if !r.passesResets.Load() { // otherwise the other direction ends both
				_ = from.Close()
			}
		}
	}
	switch c, ok := to.(*net.TCPConn); {
	case wasReset:
		abort(to)
	case ok && !failed && !r.isAborted(to):
		_ = c.CloseWrite()
	}
}

// endedByReset reports whether a connection whose read has failed, or returned its end, was
// reset. A write may have taken the error.
func endedByReset(c net.Conn, err error) bool {
	tcp, ok := c.(*net.TCPConn)
	return errors.Is(err, unix.ECONNRESET) || ok && errors.Is(err, io.EOF) && sockets.StateOf(tcp) == sockets.Reset
}
