package fleetsync_test

import (
	"context"
	"fmt"
	"math"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"storj.io/drpc"

	"geraniumturn.example/geraniumturn/internal/clock"
	"geraniumturn.example/geraniumturn/internal/document"
	"geraniumturn.example/geraniumturn/internal/fleetsync"
	"geraniumturn.example/geraniumturn/internal/fleetsync/syncpb"
	"geraniumturn.example/geraniumturn/internal/origins"
	"geraniumturn.example/geraniumturn/internal/peer"
	"geraniumturn.example/geraniumturn/internal/proctest"
	"geraniumturn.example/geraniumturn/internal/registry"
)

// stubLog is a Leadership with current state.
type stubLog struct{ leader bool }

func (l stubLog) Lease() (uint64, bool)           { return 1, l.leader }
func (l stubLog) LeaderHost() string              { return "" }
func (l stubLog) StateAge() (time.Duration, bool) { return 0, true }
func (l stubLog) MemberHosts() []string           { return nil }

// memoryStore is a DepartureStore without a disk.
type memoryStore struct{}

func (memoryStore) Save([]registry.Record) error { return nil }

// startControlHost starts a server on a loopback address and returns it with the address.
func startControlHost(t *testing.T) (*fleetsync.Server, string) {
	t.Helper()
	s, address, stop := startProcess(t, "127.0.0.1:0", 7)
	t.Cleanup(stop)
	return s, address
}

// startProcess starts a process of a control host and returns the function that ends it.
func startProcess(t *testing.T, address string, incarnation uint64) (*fleetsync.Server, string, func()) {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	address = listener.Addr().String()
	transport := peer.New(address, &clock.HLC{}, nil)
	s := &fleetsync.Server{Self: &syncpb.ControlHost{Peer: address, Region: "here"}, Leadership: stubLog{true}, Document: document.NewMachine(),
		Targets: registry.NewTable(), Presence: fleetsync.NewPresence(), Dial: transport.Dial, Incarnation: incarnation, InvalidRecords: func(string, error) {},
		Departures: memoryStore{}, OnDeparture: func(registry.Record, string) {}, OnDepartureError: func(err error) { t.Error(err) }}
	s.Init()
	if err := transport.Register(s, syncpb.DRPCSyncDescription{}); err != nil {
		t.Fatal(err)
	}
	if err := transport.Register(s, syncpb.DRPCDocumentsDescription{}); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = transport.Serve(ctx, listener) }()
	return s, address, func() { cancel(); <-done; _ = transport.Close() }
}

// recordingClient records the updates of an entry host until the test ends.
type recordingClient struct {
	*fleetsync.Client
	origins *origins.Store
	mu      sync.Mutex
	updates []fleetsync.Update
}

func startClient(t *testing.T, configurationFresh bool, seeds ...string) *recordingClient {
	t.Helper()
	c := newClient(t, configurationFresh)
	c.run(t, seeds...)
	return c
}

func newClient(t *testing.T, configurationFresh bool) *recordingClient {
	transport := peer.New("entry", &clock.HLC{}, nil)
	c := &recordingClient{origins: origins.NewStore()}
	c.Client = &fleetsync.Client{Region: "here", Dial: func(a string) drpc.Conn { return transport.Dial(a) }, ConfigurationFresh: func() bool { return configurationFresh },
		NewRequest: func(now time.Duration, full bool, originCursor uint64) *syncpb.ExchangeRequest {
			if !full {
				return &syncpb.ExchangeRequest{OriginCursor: originCursor}
			}
			began, next := c.origins.Since(now, originCursor)
			return &syncpb.ExchangeRequest{Origins: fleetsync.EncodeOrigins(began), OriginCursor: next, WantHosts: true, Host: &syncpb.EntryHost{Name: "entry", Region: "here", Front: "f", Serving: true},
				Demands: []*syncpb.Demand{{Workspace: "w", PerSecond: 5}}, UptimeMs: 10}
		},
		Apply: func(_ time.Duration, u fleetsync.Update) {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.updates = append(c.updates, u)
		},
		ReachabilityChanged: func(string, bool, error) {}, InvalidRecords: func(string, error) {}}
	t.Cleanup(func() { _ = transport.Close() })
	return c
}

// run runs the client until the test ends.
func (c *recordingClient) run(t *testing.T, seeds ...string) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = c.Run(ctx, func() []string { return seeds }) }()
	t.Cleanup(func() { cancel(); <-done })
}

func (c *recordingClient) awaitUpdate(t *testing.T, limit time.Duration, check func(fleetsync.Update) bool) {
	t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		c.mu.Lock()
		for _, u := range c.updates {
			if check(u) {
				c.mu.Unlock()
				return
			}
		}
		c.mu.Unlock()
	}
	t.Fatalf("no matching update within %s: %d updates", limit, len(c.updates))
}

// Guards against an entry host that does not receive the document, an evacuation, a
// target, its grant of a rate, or itself in the list of hosts.
func TestExchange(t *testing.T) {
	s, address := startControlHost(t)
	s.Document.Apply(5, []byte(`{"version":9,"content":"YWJj"}`))
	s.Document.Apply(6, []byte(`{"data_centre":"dc","evacuate":true}`))
	s.Targets.Heartbeat(clock.SinceBoot(), registry.Record{ID: "t", Sequence: 1, Service: "s", Address: "10.0.0.1:80", DataCentre: "dc", State: registry.Ready, ColdUntil: clock.SinceBoot() + time.Minute})
	c := startClient(t, true, address)
	c.awaitUpdate(t, 3*time.Second, func(u fleetsync.Update) bool {
		return u.GetVersion() == 9 && string(u.GetContent()) == "abc" && u.GetIndex() == 6 && len(u.GetEvacuated()) == 1 && u.GetKnown()
	})
	c.awaitUpdate(t, 3*time.Second, func(u fleetsync.Update) bool {
		return len(u.Records) == 1 && u.Records[0].ID == "t" && u.Records[0].ColdUntil > clock.SinceBoot()+50*time.Second
	})
	c.awaitUpdate(t, 3*time.Second, func(u fleetsync.Update) bool {
		return len(u.GetGrants()) == 1 && u.GetGrants()[0].GetFraction() == 1 && len(u.GetHosts()) == 1
	})
}

// Guards against an entry host that knows only its seeds and loses contact with the
// control plane when they are gone.
func TestClientDiscoversControlHosts(t *testing.T) {
	seed, first := startControlHost(t)
	_, second := startControlHost(t)
	seed.Presence.RecordControl(clock.SinceBoot(), &syncpb.ControlHost{Peer: second, Region: "there"}, true)
	c := startClient(t, true, first)
	c.awaitUpdate(t, 3*time.Second, func(u fleetsync.Update) bool { return u.ControlAddress == second })
}

// Guards against a starting host that waits for the full exchange timeout on a
// connection to a control host that is not serving yet.
func TestClientRetriesQuicklyAtStartup(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	connections := make(chan net.Conn, 16)
	go func() {
		for {
			c, err := silent.Accept()
			if err != nil {
				return
			}
			connections <- c
		}
	}()
	started := time.Now()
	startClient(t, false, silent.Addr().String())
	first, second := <-connections, <-connections
	defer first.Close()
	defer second.Close()
	if took := time.Since(started); took > 650*time.Millisecond {
		t.Errorf("second connection after %s", took)
	}
}

// Guards against a target or an entry host that is known only to the control host that
// received its report.
func TestRelay(t *testing.T) {
	one, oneAddress := startControlHost(t)
	two, twoAddress := startControlHost(t)
	one.Targets.Heartbeat(clock.SinceBoot(), registry.Record{ID: "t", Sequence: 3, Service: "s", Address: "10.0.0.1:80", DataCentre: "dc", State: registry.Draining})
	one.Presence.RecordEntry(clock.SinceBoot(), &syncpb.EntryHost{Name: "e", Region: "here", Serving: true}, true)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = one.Run(ctx, func() []string { return []string{oneAddress, twoAddress} })
	}()
	defer func() { cancel(); <-done }()
	for end := time.Now().Add(3 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		targets, hosts, controls := two.Targets.Registered(), two.Presence.Entries(clock.SinceBoot()), two.Presence.Controls(clock.SinceBoot())
		if len(targets) == 1 && targets[0].State == registry.Draining && len(hosts) == 1 && len(controls) >= 1 {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("targets %v, hosts %v, control hosts %v", targets, hosts, controls)
		}
	}
}

// Guards against a report of an earlier process that replaces one of a later process,
// and against a host that is listed long after its last report.
func TestPresence(t *testing.T) {
	p := fleetsync.NewPresence()
	now := time.Hour
	host := func(started int64, serving bool) *syncpb.EntryHost {
		return &syncpb.EntryHost{Name: "e", Started: started, Serving: serving}
	}
	p.RecordEntry(now, host(2, true), true)
	p.RecordEntry(now+time.Millisecond, host(1, false), true)
	if got := p.Entries(now + time.Second); len(got) != 1 || !got[0].GetServing() {
		t.Errorf("hosts %v", got)
	}
	if got := p.Entries(now + 3*time.Second); len(got) != 0 {
		t.Errorf("a host that was silent for 3 s is listed: %v", got)
	}
}

// oddRecords are records that describe no target, by what is odd about them.
func oddRecords() map[string]registry.Record {
	good := registry.Record{ID: "good", StartMillis: 1, Sequence: 9, Service: "s", Address: "10.0.0.9:80", DataCentre: "dc", Slots: 4, State: registry.Ready}
	odd := map[string]registry.Record{}
	for name, change := range map[string]func(r *registry.Record){
		"port out of range":     func(r *registry.Record) { r.Address = "10.0.0.9:99999" },
		"port 0":                func(r *registry.Record) { r.Address = "10.0.0.9:0" },
		"no address":            func(r *registry.Record) { r.Address = "" },
		"name as address":       func(r *registry.Record) { r.Address = "target.example:80" },
		"ID that is not UTF-8":  func(r *registry.Record) { r.ID = "odd\xff" },
		"ID without end":        func(r *registry.Record) { r.ID = strings.Repeat("x", 1<<20) },
		"no ID":                 func(r *registry.Record) { r.ID = "" },
		"service not UTF-8":     func(r *registry.Record) { r.Service = "\xc3\x28" },
		"software not UTF-8":    func(r *registry.Record) { r.Software = "\xff" },
		"no service":            func(r *registry.Record) { r.Service = "" },
		"no data centre":        func(r *registry.Record) { r.DataCentre = "" },
		"sequence out of range": func(r *registry.Record) { r.Sequence = math.MaxUint64 },
		"start out of range":    func(r *registry.Record) { r.StartMillis = math.MaxInt64 },
		"negative start":        func(r *registry.Record) { r.StartMillis = math.MinInt64 },
		"slots out of range":    func(r *registry.Record) { r.Slots = math.MaxInt32 },
		"negative slots":        func(r *registry.Record) { r.Slots = -1 },
		"unknown state":         func(r *registry.Record) { r.State = 200 },
		"warm-up out of range":  func(r *registry.Record) { r.ColdUntil = math.MaxInt64 },
	} {
		r := good
		change(&r)
		odd[name] = r
	}
	return odd
}

// Guards against one odd record of a target that stops all exchanges with entry hosts and
// all relays between control hosts, or that replaces the good record of its target.
func TestOddRecordsAreSkipped(t *testing.T) {
	for name, odd := range oddRecords() {
		t.Run(name, func(t *testing.T) {
			one, oneAddress := startControlHost(t)
			two, twoAddress := startControlHost(t)
			now := clock.SinceBoot()
			good := registry.Record{ID: "good", StartMillis: 1, Sequence: 3, Service: "s", Address: "10.0.0.1:80", DataCentre: "dc", Slots: 4, State: registry.Ready}
			two.Targets.Merge(now, good)
			one.Targets.Heartbeat(now, odd)
			one.Targets.Heartbeat(now, registry.Record{ID: "other", Sequence: 1, Service: "s", Address: "10.0.0.2:80", DataCentre: "dc", Slots: 4, State: registry.Ready})
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})
			go func() {
				defer close(done)
				_ = one.Run(ctx, func() []string { return []string{oneAddress, twoAddress} })
			}()
			defer func() { cancel(); <-done }()
			c := startClient(t, true, oneAddress)
			c.awaitUpdate(t, 3*time.Second, func(u fleetsync.Update) bool {
				return len(u.Records) == 1 && u.Records[0].ID == "other"
			})
			for end := time.Now().Add(3 * time.Second); len(two.Targets.Registered()) < 2; time.Sleep(10 * time.Millisecond) {
				if time.Now().After(end) {
					t.Fatalf("records at the other control host: %+v", two.Targets.Registered())
				}
			}
			if got := two.Targets.Registered(); len(got) != 2 || got[0] != good || got[1].ID != "other" {
				t.Errorf("records at the other control host: %+v", got)
			}
		})
	}
}

// Guards against an odd record from a control host of another release that stops an entry
// host from following the list of targets, or that replaces a good record there.
func TestOddRecordsFromOtherReleaseAreSkipped(t *testing.T) {
	now := clock.SinceBoot()
	good := &syncpb.Target{Id: "good", Sequence: 1, Service: "s", Address: "10.0.0.1:80", DataCentre: "dc", Slots: 4, State: uint32(registry.Ready)}
	for name, change := range map[string]func(r *syncpb.Target){
		"port out of range":         func(r *syncpb.Target) { r.Address = "10.0.0.9:99999" },
		"negative slots":            func(r *syncpb.Target) { r.Slots = math.MinInt32 },
		"state beyond a byte":       func(r *syncpb.Target) { r.State = 256 + uint32(registry.Ready) },
		"warm-up beyond a duration": func(r *syncpb.Target) { r.ColdMs = math.MaxInt64 },
		"sequence out of range":     func(r *syncpb.Target) { r.Sequence = math.MaxUint64 },
		"start out of range":        func(r *syncpb.Target) { r.Born = math.MaxInt64 },
		"ID without end":            func(r *syncpb.Target) { r.Id = strings.Repeat("x", 1<<20) },
	} {
		t.Run(name, func(t *testing.T) {
			odd := &syncpb.Target{Id: "good", Sequence: 2, Service: "s", Address: "10.0.0.9:80", DataCentre: "dc", Slots: 4, State: uint32(registry.Ready)}
			change(odd)
			two, twoAddress := startControlHost(t)
			var reported atomic.Int64
			two.InvalidRecords = func(string, error) { reported.Add(1) }
			transport := peer.New("one", &clock.HLC{}, nil)
			t.Cleanup(func() { _ = transport.Close() })
			if _, err := syncpb.NewDRPCSyncClient(transport.Dial(twoAddress)).Relay(context.Background(), &syncpb.RelayRequest{Targets: []*syncpb.Target{good, odd}}); err != nil {
				t.Fatal(err)
			}
			got := two.Targets.Registered()
			if len(got) != 1 || got[0].ID != "good" || got[0].Sequence != 1 || got[0].Address != "10.0.0.1:80" || got[0].ColdUntil > now || reported.Load() != 1 {
				t.Errorf("records %+v, reported %d times", got, reported.Load())
			}
		})
	}
}

// Guards against exchanges with each control host of a region at the rate that one of them
// needs: their number would grow with the control hosts, and with it the load on all.
func TestExchangesAreDividedAmongControlHosts(t *testing.T) {
	first, firstAddress := startControlHost(t)
	_, secondAddress := startControlHost(t)
	first.Presence.RecordControl(clock.SinceBoot(), &syncpb.ControlHost{Peer: secondAddress, Region: "here"}, true)
	first.Presence.RecordControl(clock.SinceBoot(), first.Self, true)
	c := startClient(t, true, firstAddress)
	c.awaitUpdate(t, 3*time.Second, func(u fleetsync.Update) bool { return u.ControlAddress == secondAddress })
	time.Sleep(500 * time.Millisecond) // both are known to be of this region
	c.mu.Lock()
	c.updates = nil
	c.mu.Unlock()
	const measured = 2 * time.Second
	time.Sleep(measured)
	c.mu.Lock()
	defer c.mu.Unlock()
	byControl := map[string]int{}
	for _, u := range c.updates {
		byControl[u.ControlAddress]++
	}
	// One exchange each 200 ms in all; a machine under load may delay them.
	if n := len(c.updates); n > 11 || byControl[firstAddress] == 0 || byControl[secondAddress] == 0 {
		t.Errorf("%d exchanges in %s: %v", n, measured, byControl)
	}
}

// Guards against one response of a control host that ends the process of an entry host.
func TestPanicEndsOneExchange(t *testing.T) {
	_, address := startControlHost(t)
	c := newClient(t, true)
	apply, panicked := c.Apply, false
	c.Apply = func(now time.Duration, u fleetsync.Update) {
		if !panicked {
			panicked = true
			panic("unexpected response")
		}
		apply(now, u)
	}
	unreachable := make(chan error, 8)
	c.ReachabilityChanged = func(_ string, reachable bool, err error) {
		if !reachable {
			unreachable <- err
		}
	}
	c.run(t, address)
	if err := <-unreachable; !strings.Contains(err.Error(), "unexpected response") {
		t.Errorf("error %v", err)
	}
	c.awaitUpdate(t, 5*time.Second, func(u fleetsync.Update) bool { return u.ControlAddress == address })
}

// Guards against a control host that goes on naming a target as ready because the call that
// told it of the departure failed: a target that has left sends no other heartbeat.
func TestDepartureIsRelayedAgain(t *testing.T) {
	one, oneAddress := startControlHost(t)
	two, twoAddress := startControlHost(t)
	link, err := proctest.NewRelay("127.0.0.1:0", twoAddress)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(link.Close)
	one.Targets.Heartbeat(clock.SinceBoot(), registry.Record{ID: "t", Sequence: 3, Service: "s", Address: "10.0.0.1:80", DataCentre: "dc", State: registry.Ready})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = one.Run(ctx, func() []string { return []string{oneAddress, link.Address()} })
	}()
	defer func() { cancel(); <-done }()
	awaitRegistered := func(n int, limit time.Duration) bool {
		for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			if len(two.Targets.Registered()) == n {
				return true
			}
		}
		return false
	}
	if !awaitRegistered(1, 3*time.Second) {
		t.Fatal("the target is not known")
	}
	link.Cut()
	one.Targets.Deregister(clock.SinceBoot(), "t", 0)
	time.Sleep(time.Second)
	link.Heal()
	// Before the time after which a target without heartbeats is silent.
	if !awaitRegistered(0, 1500*time.Millisecond) {
		t.Errorf("the other control host still has %v", two.Targets.Registered())
	}
}

// Answers the return of hundreds of hosts at once: a control host with many large responses
// that are not written yet asks further hosts to come back, and serves them afterwards.
func TestCrowdOfStartingHostsIsSlowedDown(t *testing.T) {
	s, address := startControlHost(t)
	for i := range 200 {
		s.Targets.Heartbeat(clock.SinceBoot(), registry.Record{ID: fmt.Sprint("i-", i), Service: "s", DataCentre: "d", Address: fmt.Sprintf("10.0.0.%d:80", i+1), State: registry.Ready})
	}
	ask := &syncpb.ExchangeRequest{Delta: true, BucketDigests: make([]uint64, registry.Buckets)}
	unwritten, written := context.WithCancel(t.Context())
	for range 64 {
		if out, err := s.Exchange(unwritten, ask); err != nil || len(out.GetTargets()) != 200 {
			t.Fatalf("%d targets, %v", len(out.GetTargets()), err)
		}
	}
	if out, err := s.Exchange(unwritten, ask); err != nil || len(out.GetTargets()) != 0 || !out.GetIncomplete() || out.GetCursor() != 0 {
		t.Errorf("a further host gets %d targets, %v", len(out.GetTargets()), err)
	}
	written()
	transport := peer.New("entry", &clock.HLC{}, nil)
	defer func() { _ = transport.Close() }()
	await := func(what string, done func() bool) {
		t.Helper()
		for end := time.Now().Add(5 * time.Second); !done(); time.Sleep(5 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%s: %d large responses", what, s.LargeResponses())
			}
		}
	}
	await("after all were written", func() bool { return s.LargeResponses() == 0 })
	for range 100 {
		out, err := syncpb.NewDRPCSyncClient(transport.Dial(address)).Exchange(t.Context(), ask)
		if err != nil || len(out.GetTargets()) != 200 {
			t.Fatalf("%d targets, %v", len(out.GetTargets()), err)
		}
	}
	await("after calls from another host", func() bool { return s.LargeResponses() == 0 })
}
