package intake

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"
)

var (
	here  = netip.MustParseAddr("127.0.0.1")
	there = netip.MustParseAddr("127.0.0.2")
)

func account(bytes int64, connections int) *Account {
	return NewAccount(Limits{Account: bytes, Connections: [classes]int{connections, connections, connections}, Requests: connections})
}

// open accepts a connection of callers, which must get a place.
func open(t *testing.T, a *Account, now time.Duration, address netip.Addr) (*Holder, []*Holder) {
	t.Helper()
	h, closed := a.Accept(now, Callers, address)
	if h == nil {
		t.Fatal("a connection is refused")
	}
	return h, closed
}

// body begins a request with a body that has size bytes in memory.
func body(t *testing.T, h *Holder, now time.Duration, workspace string, size int64) (closed []*Holder, ok bool) {
	t.Helper()
	if _, ok := h.BeginRequest(now); !ok {
		return nil, false
	}
	h.SetWorkspace(workspace)
	h.BeginBody(now)
	h.Received(now, int(size))
	return h.GrowBody(now, size)
}

// Load: more connections than places, most of them idle.
func TestPlaces(t *testing.T) {
	a := account(1<<30, 10)
	var crowd []*Holder
	for i := range 10 {
		h, _ := open(t, a, time.Duration(i), here)
		crowd = append(crowd, h)
	}
	crowd[0].Received(20, 1) // its head has begun, later than the accept of the others
	if _, closed := open(t, a, 30, there); !slices.Equal(closed, crowd[1:2]) {
		t.Errorf("closed %v, want the one that has been idle for longest", closed)
	}
	if _, closed := open(t, a, 31, here); !slices.Equal(closed, crowd[2:3]) {
		t.Errorf("closed %v for the crowd itself", closed)
	}
	if h, closed := a.Accept(32, Hosts, here); h == nil || closed != nil {
		t.Error("callers take the places of hosts")
	}
	if u := a.Usage(); u.Connections != [classes]int{10, 1, 0} || u.Closed[Callers] != 2 {
		t.Errorf("%+v", u)
	}
}

// Load: connections of one address that take all places, one after another, beside a caller
// with few of another address that keeps its connections.
func TestCrowdKeepsToItself(t *testing.T) {
	a := account(1<<30, 10)
	var calm []*Holder
	for range 3 {
		h, _ := open(t, a, 0, there)
		calm = append(calm, h)
	}
	for i := range 100 {
		if _, closed := open(t, a, time.Duration(i+1), here); slices.ContainsFunc(closed, func(h *Holder) bool { return slices.Contains(calm, h) }) {
			t.Fatalf("connection %d of the crowd closes one of another address", i)
		}
	}
}

// Load: bodies that stop just short of their end, with all memory for bodies.
func TestStalledBodiesGiveWay(t *testing.T) {
	a := account(10<<20, 100)
	var crowd []*Holder
	for i := range 20 {
		h, _ := open(t, a, 0, here)
		if _, ok := body(t, h, time.Duration(i)*time.Millisecond, "w", 1<<20); ok {
			crowd = append(crowd, h)
		}
	}
	if len(crowd) != 7 {
		t.Fatalf("%d bodies of 1 MiB fit into three quarters of 10 MiB", len(crowd))
	}
	early, _ := open(t, a, 100*time.Millisecond, here)
	if closed, ok := body(t, early, 100*time.Millisecond, "w", 1<<20); ok || closed != nil {
		t.Error("a body that has just arrived gives way")
	}
	if _, ok := body(t, early, 100*time.Millisecond, "w", 0); !ok {
		t.Error("no memory is left for small requests")
	}
	crowd[3].Received(4*time.Second, 1<<20) // faster than the others
	late, _ := open(t, a, 5*time.Second, here)
	closed, ok := body(t, late, 5*time.Second, "w", 5<<20)
	if !ok || len(closed) < 5 || slices.Contains(closed, crowd[3]) {
		t.Errorf("closed %d, done %v; the fastest goes: %v", len(closed), ok, slices.Contains(closed, crowd[3]))
	}
}

// Load: bodies that arrive while the process stands still. Guards against closing them for it.
func TestUnreadBodiesKeepTheirPlace(t *testing.T) {
	a := account(10<<20, 100)
	waiting, _ := open(t, a, 0, here)
	waiting.attach(func() {}, func() bool { return true })
	if _, ok := body(t, waiting, 0, "w", 7<<20); !ok {
		t.Fatal("no memory")
	}
	h, _ := open(t, a, 10*time.Second, here)
	if closed, ok := body(t, h, 10*time.Second, "w", 1<<20); ok || closed != nil {
		t.Errorf("closed %v, done %v", closed, ok)
	}
}

// Load: bodies that are whole while the process does not get to them. Guards against sending on
// a request whose connection was closed for another one.
func TestWholeBodyOfClosedConnection(t *testing.T) {
	a := account(10<<20, 100)
	kept, _ := open(t, a, 0, there)
	body(t, kept, 0, "w", 1)
	whole, _ := open(t, a, 0, here)
	body(t, whole, 0, "w", 7<<20)
	h, _ := open(t, a, time.Second, here)
	if closed, _ := body(t, h, time.Second, "w", 1<<20); !slices.Equal(closed, []*Holder{whole}) {
		t.Fatalf("closed %v", closed)
	}
	if whole.EndBody(time.Second) || !kept.EndBody(time.Second) {
		t.Error("EndBody does not tell which connection was closed")
	}
}

// Load: idle connections that take all memory of the account, and one request with a body.
func TestIdleConnectionsGiveWayToBodies(t *testing.T) {
	a := account(100*connectionBytes, 1000)
	for i := range 200 {
		open(t, a, time.Duration(i), here)
	}
	h, _ := open(t, a, time.Second, there)
	if closed, ok := body(t, h, time.Second, "w", 10*connectionBytes); !ok || len(closed) < 9 {
		t.Errorf("closed %d, done %v", len(closed), ok)
	}
}

// Load: requests that stop short of their end, as many as may be in progress. Guards against a
// request without a descriptor for the connection to its target.
func TestRequestsInProgress(t *testing.T) {
	a := NewAccount(Limits{Account: 1 << 30, Connections: [classes]int{100, 1, 1}, Requests: 10})
	for range 10 {
		h, _ := open(t, a, 0, here)
		if _, ok := body(t, h, 0, "w", 1); !ok {
			t.Fatal("refused")
		}
	}
	h, _ := open(t, a, stallTime/2, here)
	if _, ok := h.BeginRequest(stallTime / 2); ok {
		t.Error("more requests than may be in progress")
	}
	if closed, ok := h.BeginRequest(time.Second); !ok || len(closed) != 1 {
		t.Errorf("closed %d, done %v: a request that stalls does not give way", len(closed), ok)
	}
}

// Load: as many long requests of callers in progress as are allowed, beside forwarded requests,
// readiness and metrics. Guards against refusing those while memory is free.
func TestRequestsOfCallersLeaveRoomForOthers(t *testing.T) {
	a := NewAccount(Limits{Account: 1 << 30, Connections: [classes]int{100, 10, 10}, Requests: 10, HostRequests: 2})
	for range 10 {
		h, _ := open(t, a, 0, here)
		if _, ok := h.BeginRequest(0); !ok {
			t.Fatal("refused")
		}
	}
	caller, _ := open(t, a, time.Second, here)
	if _, ok := caller.BeginRequest(time.Second); ok {
		t.Error("a request of callers takes the reserve of hosts")
	}
	if _, ok := caller.BeginLocalRequest(time.Second); !ok {
		t.Error("a request that is not sent on is refused")
	}
	for i, class := range []Class{Hosts, Hosts, Hosts, Operators} {
		h, _ := a.Accept(time.Second, class, there)
		if _, ok := h.BeginRequest(time.Second); ok != (i != 2) {
			t.Errorf("request %d, of %s: %v", i, class, ok)
		}
	}
	if caller.EndRequest(time.Second); a.requests != 12 {
		t.Errorf("%d requests are counted", a.requests)
	}
}

// Load: many bodies of one workspace beside few of another one at the same address.
func TestWorkspaceKeepsToItself(t *testing.T) {
	a := account(10<<20, 100)
	calm, _ := open(t, a, 0, here)
	if _, ok := body(t, calm, 0, "calm", 1<<20); !ok {
		t.Fatal("no memory")
	}
	for i := range 50 {
		now := time.Duration(i) * time.Second
		h, _ := open(t, a, now, here)
		if closed, _ := body(t, h, now, "crowd", 1<<20); slices.Contains(closed, calm) {
			t.Fatalf("body %d of the crowd closes that of another workspace", i)
		}
	}
}

// Guards against charges that are lost or stay, whatever the order of events, and against
// more memory or places than the limits.
func TestRandomEvents(t *testing.T) {
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 44))
		a := account(4<<20, 20)
		var live []*Holder
		drop := func(closed []*Holder) {
			live = slices.DeleteFunc(live, func(h *Holder) bool { return slices.Contains(closed, h) })
		}
		for step := range 400 {
			now := time.Duration(step) * 50 * time.Millisecond
			if len(live) == 0 || r.IntN(3) == 0 {
				h, closed := a.Accept(now, Class(r.IntN(int(classes))), netip.AddrFrom4([4]byte{127, 0, 0, byte(r.IntN(4))}))
				drop(closed)
				if h != nil {
					live = append(live, h)
				}
				continue
			}
			h := live[r.IntN(len(live))]
			var closed []*Holder
			switch r.IntN(7) {
			case 0:
				closed, _ = h.BeginRequest(now)
			case 1:
				h.SetWorkspace(fmt.Sprint(r.IntN(3)))
			case 2:
				h.BeginBody(now)
				closed, _ = h.GrowBody(now, r.Int64N(2<<20))
			case 3:
				closed, _ = h.GrowHead(now, r.Int64N(64<<10))
			case 4:
				h.EndRequest(now)
			case 5:
				h.Received(now, r.IntN(100))
			case 6:
				h.Release()
				h.Release()
				closed = []*Holder{h}
			}
			drop(closed)
			held := int64(0)
			for _, h := range live {
				held += h.held
			}
			bodies := int64(0)
			for _, h := range live {
				bodies += h.body
			}
			if u := a.Usage(); u.Bytes != held || a.bodies != bodies || a.requests > 20 || bodies > 3<<20 || held > 4<<20 || slices.Max(u.Connections[:]) > 20 || len(live) != u.Connections[0]+u.Connections[1]+u.Connections[2] {
				t.Fatalf("seed %d, step %d: %+v, %d bytes in %d connections", seed, step, u, held, len(live))
			}
		}
		for _, h := range live {
			h.Release()
		}
		if u := a.Usage(); u.Bytes != 0 || a.bodies != 0 || a.requests != 0 || len(a.groups) != 0 || len(a.places) != 0 {
			t.Fatalf("seed %d: %+v is left", seed, u)
		}
	}
}

// Guards against limits that exceed the memory or the descriptors, and against a largest body
// that a small machine cannot take: while it grows there are two buffers of it.
func TestLimits(t *testing.T) {
	for _, c := range []struct {
		memoryMB, descriptors int
		body                  int64
	}{{136, 2870, 4 << 20}, {136, 2870, 8 << 20}, {280, 4096, 3 << 20}, {414, 6150, 8 << 20}, {40, 1000, 1 << 20}} {
		l := LimitsFor(int64(c.memoryMB)<<20, c.descriptors, 0, EntryShares)
		if l.Account+l.Responses >= int64(CollectorFraction*float64(l.Memory)) {
			t.Errorf("%+v: the collector's limit leaves no memory for the state: %+v", c, l)
		}
		if sum := l.Connections[Callers] + l.Connections[Hosts] + l.Connections[Operators] + l.Requests + l.HostRequests; sum > c.descriptors-reservedDescriptors {
			t.Errorf("%+v: %d descriptors with one connection to a target for each request", c, sum)
		}
		control := LimitsFor(int64(c.memoryMB)<<20, c.descriptors, 0, ControlShares).Connections
		if sum := control[0] + control[1] + control[2]; sum > c.descriptors-reservedDescriptors {
			t.Errorf("%+v: %d descriptors of a control host", c, sum)
		}
		a := NewAccount(l)
		h, _ := a.Accept(0, Callers, here)
		if _, ok := body(t, h, 0, "w", c.body/2+c.body); !ok {
			t.Errorf("%+v: no memory for a body", c)
		}
	}
}

// Load: connections and requests of callers that use up the account, beside connections of hosts
// with calls in progress and kept connections of targets.
func TestCallersTakeOnlyFromCallers(t *testing.T) {
	a := NewAccount(Limits{Account: 10 << 20, Connections: [classes]int{1000, 8, 300}, Requests: 1000})
	for range 250 {
		a.Accept(0, Operators, there)
	}
	var peers []*Holder
	for range 8 {
		h, _ := a.Accept(0, Hosts, there)
		h.raw = true
		peers = append(peers, h)
	}
	for i := range 300 {
		now := time.Duration(i) * time.Second
		h, closed := a.Accept(now, Callers, netip.AddrFrom4([4]byte{127, 1, 0, byte(i)}))
		if h != nil {
			more, _ := h.BeginRequest(now)
			closed = append(closed, more...)
		}
		if slices.ContainsFunc(closed, func(v *Holder) bool { return v.group.class != Callers }) {
			t.Fatalf("caller %d closes a connection of hosts or targets", i)
		}
	}
	now := 300 * time.Second
	for _, h := range peers[1:] {
		h.Received(now-rawIdleTime/2, 1)
	}
	if h, closed := a.Accept(now, Hosts, there); h == nil || !slices.Equal(closed, peers[:1]) {
		t.Errorf("closed %v for another host, want the idle one", closed)
	}
}
