package intake

import (
	"cmp"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// stallTime is how long a body that does not move keeps its place if others need it, and
	// writeStallTime how long a response does.
	stallTime      = 300 * time.Millisecond
	writeStallTime = time.Second
	// A body that is older than paceTime keeps its place only at pressedPace, in bytes a
	// second. Without need, requestbody.MinPace holds.
	paceTime    = 2 * time.Second
	pressedPace = 16 << 10
	// A connection without phases is idle after rawIdleTime: between calls, and in long ones,
	// its hosts are quiet for some seconds.
	rawIdleTime = 30 * time.Second
)

// Phase is what a connection does.
type Phase int32

func (p Phase) String() string { return [...]string{"quiet", "head", "body", "exchange"}[p] }

// The phases.
const (
	// Quiet connections have sent nothing since their accept or their last response.
	Quiet Phase = iota
	// Head means that a head is arriving.
	Head
	// Body means that a body is arriving.
	Body
	// Exchange is the rest of a request.
	Exchange
)

// Account is the account of one process. It is safe for concurrent use.
type Account struct {
	limits Limits

	mu     sync.Mutex
	used   int64 // bytes charged to all holders
	bodies int64 // the part of used for bodies
	// requests is the number of requests in progress that are sent on.
	requests int
	open     [classes]int
	holders  map[*Holder]struct{}
	places   map[place]int   // connections
	groups   map[group]int64 // bytes
	refused  [classes]int64
	closed   [classes]int64
}

// place identifies the connections of an address.
type place struct {
	class   Class
	address netip.Addr
}

// group identifies what an address holds for a workspace.
type group struct {
	place
	workspace string
}

// NewAccount returns an account with nothing in it.
func NewAccount(l Limits) *Account {
	return &Account{limits: l, holders: map[*Holder]struct{}{}, places: map[place]int{}, groups: map[group]int64{}}
}

// Holder is what one connection holds. All of it ends with Release.
type Holder struct {
	account *Account
	group   group
	// raw connections have no phases.
	raw bool

	// phase is a Phase. received counts bytes; the times are nanoseconds on the caller's clock.
	phase             atomic.Int32
	phaseAt           atomic.Int64
	received, movedAt atomic.Int64
	bodyFrom          atomic.Int64 // received at the begin of the body
	writeAt           atomic.Int64 // begin of the write in progress; 0 for none
	bodyRead          atomic.Bool  // the body of the request has been read whole

	// The account's mutex guards these. request, head, body and held are charges in bytes.
	request, head, body int64
	counted             bool // the request counts in Account.requests
	held, heldAtEnd     int64
	gone                bool
	closeConn           func()      // ends the connection
	unread              func() bool // reports whether bytes of the caller wait to be read
}

// Decision is what the account has decided about a connection.
type Decision struct {
	// Closed means that the connection was closed for another one, otherwise it was refused.
	Closed    bool
	Class     Class
	Address   netip.Addr
	Workspace string
	Phase     Phase
	// Held is what the connection held, and Needed what was needed, in bytes; 0 for a place.
	Held, Needed int64
	Quiet        time.Duration
}

// Usage is what is held.
type Usage struct {
	Bytes           int64
	Connections     [classes]int
	Refused, Closed [classes]int64
}

// Limits returns the limits of the account.
func (a *Account) Limits() Limits { return a.limits }

// Usage returns what is held, and how many connections or requests were refused or closed.
func (a *Account) Usage() Usage {
	a.mu.Lock()
	defer a.mu.Unlock()
	return Usage{a.used, a.open, a.refused, a.closed}
}

// Accept charges a new connection. Without a holder it is to be closed at once; the others
// that are returned are to be closed for it.
func (a *Account) Accept(now time.Duration, class Class, address netip.Addr) (h *Holder, closed []*Holder) {
	a.mu.Lock()
	defer a.mu.Unlock()
	h = &Holder{account: a, group: group{place: place{class, address}}}
	h.phaseAt.Store(int64(now))
	h.movedAt.Store(int64(now))
	if a.open[class] >= a.limits.Connections[class] {
		v := a.placeFor(now, h)
		if v == nil {
			a.refused[class]++
			return nil, nil
		}
		a.evict(v)
		closed = append(closed, v)
	}
	more, ok := a.makeRoom(now, h, need{bytes: connectionBytes})
	closed = append(closed, more...)
	if !ok {
		a.refused[class]++
		return nil, closed
	}
	a.holders[h] = struct{}{}
	a.open[class]++
	a.places[h.group.place]++
	a.add(h, connectionBytes)
	return h, closed
}

// limitOf is the limit of all charges for a new one of a class.
func (a *Account) limitOf(c Class) int64 {
	if c == Callers {
		return int64(callerFraction * float64(a.limits.Account))
	}
	return a.limits.Account
}

// requestLimit is the number of requests in progress for a new one of a class.
func (a *Account) requestLimit(c Class) int {
	if c == Callers {
		return a.limits.Requests
	}
	return a.limits.Requests + a.limits.HostRequests
}

// count sets whether the request of a holder is sent on. a.mu must be held.
func (a *Account) count(h *Holder, counted bool) {
	if h.counted != counted {
		h.counted = counted
		if counted {
			a.requests++
		} else {
			a.requests--
		}
	}
}

// add charges a holder. a.mu must be held.
func (a *Account) add(h *Holder, bytes int64) {
	h.held += bytes
	a.used += bytes
	if a.groups[h.group] += bytes; a.groups[h.group] == 0 {
		delete(a.groups, h.group)
	}
}

// evict removes a holder that is to be closed. a.mu must be held.
func (a *Account) evict(h *Holder) {
	a.closed[h.group.class]++
	a.remove(h)
}

// remove ends all charges of a holder. a.mu must be held.
func (a *Account) remove(h *Holder) {
	if h.gone {
		return
	}
	h.gone, h.heldAtEnd = true, h.held
	a.add(h, -h.held)
	a.bodies -= h.body
	a.count(h, false)
	delete(a.holders, h)
	a.open[h.group.class]--
	if a.places[h.group.place]--; a.places[h.group.place] == 0 {
		delete(a.places, h.group.place)
	}
}

// placeFor returns the connection whose place a new one gets, or nil. a.mu must be held.
func (a *Account) placeFor(now time.Duration, h *Holder) *Holder {
	var best *Holder
	for v := range a.holders {
		if v.group.class != h.group.class || !v.waits(now) && !v.stalled(now) {
			continue
		}
		if v.group.address != h.group.address && a.places[v.group.place] <= a.places[h.group.place]+1 {
			continue
		}
		if best == nil || a.comparePlaces(v, best) < 0 {
			best = v
		}
	}
	return best
}

// comparePlaces orders connections by who gives its place first. a.mu must be held.
func (a *Account) comparePlaces(v, w *Holder) int {
	return cmp.Or(cmp.Compare(a.places[w.group.place], a.places[v.group.place]), cmp.Compare(v.since(), w.since()))
}

// since is the time from which a connection counts as waiting.
func (h *Holder) since() int64 {
	if Phase(h.phase.Load()) == Quiet {
		return max(h.phaseAt.Load(), h.movedAt.Load())
	}
	return h.phaseAt.Load()
}

// waits reports whether the connection has no whole head, or is idle if it has no phases. The
// account's mutex must be held.
func (h *Holder) waits(now time.Duration) bool {
	if h.raw {
		return now-time.Duration(h.movedAt.Load()) >= rawIdleTime
	}
	return Phase(h.phase.Load()) <= Head
}

// stalled reports whether a request keeps its place although it does not move. The account's
// mutex must be held.
func (h *Holder) stalled(now time.Duration) bool {
	switch Phase(h.phase.Load()) {
	case Body:
		began := time.Duration(h.phaseAt.Load())
		slow := now-time.Duration(h.movedAt.Load()) >= stallTime || now-began >= paceTime && h.pace(now) < pressedPace
		// While this process stands still, or has no processor, its callers are not slow.
		return slow && (h.unread == nil || !h.unread())
	case Exchange:
		began := time.Duration(h.writeAt.Load())
		return began > 0 && now-began >= writeStallTime
	}
	return false
}

// pace returns the bytes a second of a body.
func (h *Holder) pace(now time.Duration) float64 {
	age := max(now-time.Duration(h.phaseAt.Load()), time.Millisecond)
	return float64(h.received.Load()-h.bodyFrom.Load()) / age.Seconds()
}

// need is what a new charge takes: bytes in all, of which body is for bodies, and requests.
type need struct {
	bytes, body int64
	requests    int
}

// makeRoom makes sure that a charge fits, and returns who has to be closed for it. a.mu must be
// held.
func (a *Account) makeRoom(now time.Duration, h *Holder, n need) (closed []*Holder, ok bool) {
	total := a.used + n.bytes - a.limitOf(h.group.class)
	bodies := int64(0)
	if n.body > 0 {
		bodies = a.bodies + n.body - int64(bodyFraction*float64(a.limits.Account))
	}
	requests := 0
	if n.requests > 0 {
		requests = a.requests + n.requests - a.requestLimit(h.group.class)
	}
	if total <= 0 && bodies <= 0 && requests <= 0 {
		return nil, true
	}
	var candidates []*Holder
	own := a.groups[h.group] + n.bytes
	for v := range a.holders {
		// Callers, whom nobody controls, take nothing from others.
		if h.group.class == Callers && v.group.class != Callers {
			continue
		}
		if v != h && (v.waits(now) || v.stalled(now)) && (v.group == h.group || a.groups[v.group] >= own) {
			candidates = append(candidates, v)
		}
	}
	slices.SortFunc(candidates, func(v, w *Holder) int {
		return cmp.Or(cmp.Compare(a.groups[w.group], a.groups[v.group]), cmp.Compare(v.pace(now), w.pace(now)), cmp.Compare(v.since(), w.since()))
	})
	chosen := func(useful func(v *Holder) bool) {
		candidates = slices.DeleteFunc(candidates, func(v *Holder) bool {
			if !useful(v) {
				return false
			}
			closed, total, bodies = append(closed, v), total-v.held, bodies-v.body
			if v.counted {
				requests--
			}
			return true
		})
	}
	chosen(func(v *Holder) bool { return bodies > 0 && v.body > 0 })
	chosen(func(v *Holder) bool { return requests > 0 && v.counted })
	chosen(func(*Holder) bool { return total > 0 })
	if total > 0 || bodies > 0 || requests > 0 {
		return nil, false
	}
	for _, v := range closed {
		a.evict(v)
	}
	return closed, true
}

// grow sets one of the charges of a holder.
// counted means that the request is sent on.
func (h *Holder) grow(now time.Duration, charge *int64, size int64, counted bool) (closed []*Holder, ok bool) {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if h.gone {
		// All charges have ended; who gives memory back must not be told that it keeps it.
		return nil, charge == &h.body && size <= *charge
	}
	added := need{bytes: size - *charge}
	if charge == &h.body {
		added.body = added.bytes
	}
	if counted && !h.counted {
		added.requests = 1
	}
	if added.bytes > 0 || added.requests > 0 {
		if closed, ok = a.makeRoom(now, h, added); !ok {
			a.refused[h.group.class]++
			return nil, false
		}
	}
	a.add(h, added.bytes)
	a.bodies += added.body
	a.count(h, h.counted || counted)
	*charge = size
	return closed, true
}

// BeginRequest charges a request whose head has arrived and which is sent on.
func (h *Holder) BeginRequest(now time.Duration) (closed []*Holder, ok bool) {
	h.setPhase(now, Exchange)
	return h.grow(now, &h.request, requestBytes, h.group.class != Operators)
}

// BeginLocalRequest charges a request that this process answers itself: it needs memory, but no
// connection to a target.
func (h *Holder) BeginLocalRequest(now time.Duration) (closed []*Holder, ok bool) {
	h.setPhase(now, Exchange)
	return h.grow(now, &h.request, requestBytes, false)
}

// GrowHead sets the memory of a head that is larger than usual.
func (h *Holder) GrowHead(now time.Duration, size int64) (closed []*Holder, ok bool) {
	return h.grow(now, &h.head, size, false)
}

// GrowBody sets the memory of the body of the request, without its first buffer.
func (h *Holder) GrowBody(now time.Duration, size int64) (closed []*Holder, ok bool) {
	return h.grow(now, &h.body, size, false)
}

// EndRequest ends the charges of a request; its connection stays.
func (h *Holder) EndRequest(now time.Duration) {
	h.setPhase(now, Quiet)
	h.bodyRead.Store(false)
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if h.gone {
		return
	}
	a.add(h, -(h.request + h.head + h.body))
	a.bodies -= h.body
	a.count(h, false)
	h.request, h.head, h.body = 0, 0, 0
}

// SetWorkspace tells for whom the request is.
func (h *Holder) SetWorkspace(name string) {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if h.gone || h.group.workspace == name {
		return
	}
	held := h.held
	a.add(h, -held)
	h.group.workspace = name
	a.add(h, held)
}

// BeginBody and EndBody enclose the arrival of a body.
func (h *Holder) BeginBody(now time.Duration) {
	h.bodyFrom.Store(h.received.Load())
	h.movedAt.Store(int64(now))
	h.setPhase(now, Body)
}

// EndBody ends the arrival of a body. It reports false if the connection has lost its place
// meanwhile: then the request must not be sent on.
func (h *Holder) EndBody(now time.Duration) bool {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.setPhase(now, Exchange)
	return !h.gone
}

// Received counts bytes that have arrived. It reports whether a head begins with them.
func (h *Holder) Received(now time.Duration, bytes int) {
	h.received.Add(int64(bytes))
	h.movedAt.Store(int64(now))
	if !h.raw && Phase(h.phase.Load()) == Quiet {
		h.setPhase(now, Head)
	}
}

func (h *Holder) setPhase(now time.Duration, p Phase) {
	h.phaseAt.Store(int64(now))
	h.phase.Store(int32(p))
}

// Release ends all charges when the connection ends.
func (h *Holder) Release() {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.account.remove(h)
}

// decision describes what was decided about a holder.
func (h *Holder) decision(now time.Duration, closed bool, needed int64) Decision {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	return Decision{Closed: closed, Class: h.group.class, Address: h.group.address, Workspace: h.group.workspace, Phase: Phase(h.phase.Load()),
		Held: max(h.held, h.heldAtEnd), Needed: needed, Quiet: now - time.Duration(h.movedAt.Load())}
}

// attach sets how the connection is ended, and how to find out whether bytes wait in it. It
// ends a connection that has lost its place meanwhile.
func (h *Holder) attach(f func(), unread func() bool) {
	h.account.mu.Lock()
	h.closeConn, h.unread = f, unread
	gone := h.gone
	h.account.mu.Unlock()
	if gone {
		f()
	}
}

// close ends the connection.
func (h *Holder) close() {
	h.account.mu.Lock()
	f := h.closeConn
	h.account.mu.Unlock()
	if f != nil {
		f()
	}
}
