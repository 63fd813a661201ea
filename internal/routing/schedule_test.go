package routing

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"geraniumturn.example/geraniumturn/internal/dispatch"
	"geraniumturn.example/geraniumturn/internal/refusal"
	"geraniumturn.example/geraniumturn/internal/rules"
	"geraniumturn.example/geraniumturn/internal/targets"
	"geraniumturn.example/geraniumturn/internal/targets/targetspb"
)

var (
	schedules    = flag.Int("schedules", 100, "number of random schedules")
	scheduleSeed = flag.Uint64("schedule-seed", 1, "seed of the first random schedule")
)

// schedule simulates hosts of three data centres with random faults: lost, duplicated,
// delayed and reordered messages, network partitions between two hosts, restarts of hosts
// and targets, and targets that leave, stop announcing, fail requests or announce
// themselves in another data centre. At each choice it checks the invariants against the
// actual state of the targets.
type schedule struct {
	t         *testing.T
	random    *rand.Rand
	seed      uint64
	now       time.Time
	hosts     []*scheduleHost
	targets   []*scheduleTarget
	messages  []message
	attempts  []*scheduleRequest
	cutLinks  map[string]bool
	faultsOff bool
	nextID    int
	served    int
}

type scheduleHost struct {
	name, dc, region string
	s                *schedule
	table            *targets.Table
	relay            *targets.Relay
	router           *Router
}

func (h *scheduleHost) Local() []string { return h.In(h.dc) }
func (h *scheduleHost) In(dc string) []string {
	var out []string
	for _, o := range h.s.hosts {
		if o.dc == dc && o != h {
			out = append(out, o.name)
		}
	}
	return out
}

type scheduleTarget struct {
	name, dc    string
	incarnation uint64
	sequence    uint64
	cacheSeq    uint64
	leaving     bool
	// leavingSince is when the first host accepted the leaving announcement of this
	// incarnation.
	leavingSince       time.Time
	silent             bool
	failureProbability float64
	slots              int
}

type message struct {
	at time.Time
	do func()
}

type scheduleRequest struct {
	host   *scheduleHost
	req    *dispatch.Request
	target targets.Target
	endsAt time.Time
}

const scheduleStep = 100 * time.Millisecond

func newSchedule(t *testing.T, seed uint64) *schedule {
	s := &schedule{t: t, random: rand.New(rand.NewPCG(seed, 5)), seed: seed, now: time.Unix(1000, 0), cutLinks: map[string]bool{}}
	for _, h := range []scheduleHost{{name: "a1", dc: "a", region: "r1"}, {name: "a2", dc: "a", region: "r1"},
		{name: "b1", dc: "b", region: "r1"}, {name: "c1", dc: "c", region: "r2"}} {
		h.s = s
		s.hosts = append(s.hosts, &h)
		s.startHost(s.hosts[len(s.hosts)-1])
	}
	for i, dc := range []string{"a", "a", "a", "b", "c"} {
		s.targets = append(s.targets, &scheduleTarget{name: fmt.Sprintf("t%d", i), dc: dc, incarnation: 1, slots: 1 + s.random.IntN(4)})
	}
	return s
}

func (s *schedule) startHost(h *scheduleHost) {
	h.table = targets.NewTable(h.name, h.dc)
	h.relay = targets.NewRelay(h.table, h)
	h.router = New(Config{Host: h.name, DataCentre: h.dc, Region: h.region, Table: h.table, Seed: s.random.Uint64() | 1,
		Now: func() time.Time { return s.now }, Hosts: HostsFunc(func() []RemoteHost {
			var remotes []RemoteHost
			for _, other := range s.hosts {
				if other.dc != h.dc {
					remotes = append(remotes, RemoteHost{Name: other.name, DataCentre: other.dc, Region: other.region})
				}
			}
			return remotes
		})})
	s.attempts = slices.DeleteFunc(s.attempts, func(r *scheduleRequest) bool { return r.host == h })
}

func (s *schedule) fail(format string, args ...any) {
	s.t.Helper()
	s.t.Fatalf("seed %d at %v: %s", s.seed, s.now.Sub(time.Unix(1000, 0)), fmt.Sprintf(format, args...))
}

// send delivers a message between hosts after a delay, or calls lost if the message is
// lost. The delay stays below targets.transitAllowance.
func (s *schedule) send(from, to string, do, lost func()) {
	if s.cutLinks[from+to] || (!s.faultsOff && s.random.IntN(10) == 0) {
		s.enqueue(100*time.Millisecond, lost)
		return
	}
	s.enqueue(time.Duration(1+s.random.Int64N(95))*time.Millisecond, do)
	if !s.faultsOff && s.random.IntN(20) == 0 && do != nil {
		s.enqueue(time.Duration(1+s.random.Int64N(95))*time.Millisecond, do) // duplicated, possibly reordered
	}
}

func (s *schedule) enqueue(d time.Duration, do func()) {
	if do != nil {
		s.messages = append(s.messages, message{s.now.Add(d), do})
	}
}

func (s *schedule) step(n int) {
	s.now = s.now.Add(scheduleStep)
	if !s.faultsOff {
		s.injectFault()
	}
	for i, t := range s.targets {
		if (n+2*i)%10 == 0 {
			s.announce(t)
		}
	}
	for i, h := range s.hosts {
		s.tick(h, (n+3*i)%10 == 0)
	}
	s.deliver()
	s.finishRequests()
	for range 3 {
		s.request()
	}
	s.checkHosts()
}

// deliver runs the messages that are due, in order of time.
func (s *schedule) deliver() {
	end := s.now
	for {
		slices.SortStableFunc(s.messages, func(a, b message) int { return a.at.Compare(b.at) })
		if len(s.messages) == 0 || s.messages[0].at.After(end) {
			s.now = end
			return
		}
		next := s.messages[0]
		s.messages = s.messages[1:]
		s.now = next.at
		next.do()
	}
}

func (s *schedule) injectFault() {
	t := s.targets[s.random.IntN(len(s.targets))]
	switch s.random.IntN(60) {
	case 0:
		t.leaving = true
		s.announce(t) // immediately, so that it may overtake the previous announcement
	case 1:
		t.incarnation++
		t.sequence, t.cacheSeq, t.leaving, t.leavingSince, t.silent = 0, 0, false, time.Time{}, false
	case 2:
		t.silent = !t.silent
	case 3:
		t.failureProbability = []float64{0, 0.5, 1}[s.random.IntN(3)]
	case 4:
		a, b := s.hosts[s.random.IntN(len(s.hosts))].name, s.hosts[s.random.IntN(len(s.hosts))].name
		s.cutLinks[a+b], s.cutLinks[b+a] = true, true
	case 5:
		clear(s.cutLinks)
	case 6:
		s.startHost(s.hosts[s.random.IntN(len(s.hosts))])
	case 7:
		t.slots = 1 + s.random.IntN(4)
	}
}

func (s *schedule) announce(t *scheduleTarget) {
	if t.silent && !s.faultsOff {
		return
	}
	var own, others []*scheduleHost
	for _, h := range s.hosts {
		if h.dc == t.dc {
			own = append(own, h)
		} else {
			others = append(others, h)
		}
	}
	h := own[s.random.IntN(len(own))]
	if !s.faultsOff && s.random.IntN(8) == 0 {
		h = others[s.random.IntN(len(others))]
	}
	t.sequence++
	a := targets.Announcement{Name: t.name, Incarnation: t.incarnation, Sequence: t.sequence, Address: "127.0.0.1:9",
		Pool: "pool", DataCentre: t.dc, Models: []string{"model"}, Slots: t.slots, Running: s.random.IntN(t.slots + 1),
		LagMS: 1000, Leaving: t.leaving}
	s.send(t.name, h.name, func() { s.receiveAnnouncement(h, t, a) }, nil)
	if s.random.IntN(3) == 0 {
		t.cacheSeq++
		if s.random.IntN(10) == 0 {
			t.cacheSeq++ // a gap
		}
		e := targets.CacheEvent{Target: t.name, Incarnation: t.incarnation, Sequence: t.cacheSeq, Stored: []targets.Prefix{targets.Prefix(s.random.Uint64N(50))}}
		s.send(t.name, h.name, func() { _ = h.table.ApplyCacheEvent(&e) }, nil)
	}
}

func (s *schedule) receiveAnnouncement(h *scheduleHost, t *scheduleTarget, a targets.Announcement) {
	urgent, err := h.table.Announce(s.now, a)
	if err != nil && !errors.Is(err, targets.ErrStale) {
		s.fail("announcement refused: %v", err)
	}
	if urgent {
		h.relay.QueueUrgent(&a)
	}
	if err == nil && a.Leaving && a.Incarnation == t.incarnation && t.leavingSince.IsZero() {
		t.leavingSince = s.now
	}
}

func (s *schedule) host(name string) *scheduleHost {
	return s.hosts[slices.IndexFunc(s.hosts, func(h *scheduleHost) bool { return h.name == name })]
}

func (s *schedule) tick(h *scheduleHost, exchange bool) {
	h.table.Tick(s.now)
	relay := h.relay
	for _, m := range relay.Tick(s.now) {
		request := clone(m.Request)
		s.send(h.name, m.Host, func() {
			response, err := s.host(m.Host).table.Receive(s.now, h.name, request)
			if err != nil {
				s.fail("relay message refused: %v", err)
			}
			s.send(m.Host, h.name, func() { relay.Done(s.now, m, response) }, func() { relay.Done(s.now, m, nil) })
		}, func() { relay.Done(s.now, m, nil) })
	}
	if !exchange {
		return
	}
	router := h.router
	for _, call := range router.PrepareSummaryCalls() {
		s.send(h.name, call.Host.Name, func() {
			response, err := s.host(call.Host.Name).router.BuildSummary(h.name, call.Request)
			if err != nil {
				s.fail("summary request refused: %v", err)
			}
			s.send(call.Host.Name, h.name, func() {
				if err := router.CompleteSummaryCall(call, response); err != nil {
					s.fail("summary response refused: %v", err)
				}
			}, func() { _ = router.CompleteSummaryCall(call, nil) })
		}, func() { _ = router.CompleteSummaryCall(call, nil) })
	}
}

func clone(m *targetspb.RelayRequest) *targetspb.RelayRequest {
	return proto.Clone(m).(*targetspb.RelayRequest)
}

func (s *schedule) request() {
	h := s.hosts[s.random.IntN(len(s.hosts))]
	s.nextID++
	req := &dispatch.Request{ID: fmt.Sprint(s.nextID), Pool: "pool", Model: "model", Kind: rules.Engine, Budget: 3,
		Reach: []rules.Reach{rules.ReachAny, rules.ReachRegion, rules.ReachDataCentre}[s.random.IntN(3)], Idempotent: s.random.IntN(2) == 0,
		Visited: []string{h.name}, Prefixes: []uint64{s.random.Uint64N(50), s.random.Uint64()}, Body: make([]byte, 2048), Cost: 600}
	if s.random.IntN(2) == 0 {
		req.Residency = [][]string{{h.dc}, {h.dc, "a"}, {h.dc, "c"}}[s.random.IntN(3)]
	}
	choice, ok := s.choose(h, req)
	if !ok || choice.Host == nil {
		return
	}
	remote := s.host(choice.Host.Name)
	req.Visited = append(req.Visited, remote.name)
	if s.cutLinks[h.name+remote.name] {
		s.endForward(h, req, true)
		return
	}
	second, ok := s.choose(remote, req)
	if ok && second.Host != nil {
		s.fail("a forwarded request was forwarded again")
	}
	s.endForward(h, req, !ok)
}

func (s *schedule) endForward(h *scheduleHost, req *dispatch.Request, failed bool) {
	h.router.mu.Lock()
	defer h.router.mu.Unlock()
	h.router.endStep(s.now, req.ID, failed)
}

func (s *schedule) choose(h *scheduleHost, req *dispatch.Request) (dispatch.Choice, bool) {
	choice, err := h.router.Choose(uncancellable{context.Background()}, req, dispatch.Tried{Targets: map[string]bool{}, DataCentres: map[string]bool{}})
	if err != nil {
		if _, ok := errors.AsType[*refusal.Error](err); !ok {
			s.fail("Choose failed with an error that is not a refusal: %v", err)
		}
		return choice, false
	}
	if choice.Host != nil {
		s.checkDataCentre(h, req, choice.Host.DataCentre)
		return choice, true
	}
	s.checkDataCentre(h, req, choice.Target.DataCentre)
	s.begin(h, req, *choice.Target)
	return choice, true
}

// checkDataCentre checks residency and reach of a choice.
func (s *schedule) checkDataCentre(h *scheduleHost, req *dispatch.Request, dc string) {
	if len(req.Residency) > 0 && !slices.Contains(req.Residency, dc) {
		s.fail("request with residency %v was sent to data centre %s", req.Residency, dc)
	}
	region := map[string]string{"a": "r1", "b": "r1", "c": "r2"}
	if req.Reach == rules.ReachDataCentre && dc != h.dc || req.Reach == rules.ReachRegion && region[dc] != h.region {
		s.fail("request with reach %s was sent from data centre %s to %s", req.Reach, h.dc, dc)
	}
}

func (s *schedule) begin(h *scheduleHost, req *dispatch.Request, chosen targets.Target) {
	actual := s.targets[slices.IndexFunc(s.targets, func(t *scheduleTarget) bool { return t.name == chosen.Name })]
	if actual.incarnation == chosen.Incarnation && actual.leaving && !actual.leavingSince.IsZero() && s.now.Sub(actual.leavingSince) > targets.SilenceLimit {
		s.fail("target %s got a new request from host %s %v after it left", chosen.Name, h.name, s.now.Sub(actual.leavingSince))
	}
	if chosen.Ejected {
		for _, r := range s.attempts {
			if r.host == h && r.target.Name == chosen.Name && r.target.Ejected {
				s.fail("ejected target %s got a second concurrent probe", chosen.Name)
			}
		}
	}
	h.router.AttemptBegins(req, &chosen)
	s.attempts = append(s.attempts, &scheduleRequest{h, req, chosen, s.now.Add(time.Duration(s.random.Int64N(int64(2 * time.Second))))})
}

func (s *schedule) finishRequests() {
	s.attempts = slices.DeleteFunc(s.attempts, func(r *scheduleRequest) bool {
		if r.endsAt.After(s.now) {
			return false
		}
		actual := s.targets[slices.IndexFunc(s.targets, func(t *scheduleTarget) bool { return t.name == r.target.Name })]
		outcome := dispatch.Outcome{Request: r.req, Target: r.target.Name, Incarnation: r.target.Incarnation, Sent: true,
			Duration: time.Second, FirstByte: 100 * time.Millisecond}
		outcome.Complete = actual.incarnation == r.target.Incarnation && s.random.Float64() >= actual.failureProbability
		outcome.ConnectionFailed = !outcome.Complete
		outcome.Cancelled = s.random.IntN(10) == 0 && !outcome.Complete
		if outcome.Complete {
			outcome.Status = 200
			s.served++
		}
		r.host.router.AttemptEnded(outcome)
		return true
	})
}

// checkHosts checks the in-flight counts, bounds and invariant counters of each host.
func (s *schedule) checkHosts() {
	for _, h := range s.hosts {
		counts := map[string]int{}
		for _, r := range s.attempts {
			if r.host == h {
				counts[fmt.Sprint(r.target.Name, r.target.Incarnation)]++
			}
		}
		known := h.table.All()
		if len(known) > targets.MaxTargets {
			s.fail("host %s stores %d targets, more than MaxTargets", h.name, len(known))
		}
		for _, t := range known {
			if want := counts[fmt.Sprint(t.Name, t.Incarnation)]; t.InFlight != want {
				s.fail("host %s counts %d requests on target %s, but %d are running", h.name, t.InFlight, t.Name, want)
			}
		}
		stats, router := h.table.Stats(), h.router.Stats()
		if stats.NegativeInFlight+stats.BegunWhileLeaving+router.ResidencyViolations+router.ReachViolations != 0 {
			s.fail("host %s: an invariant is violated: %+v %+v", h.name, stats, router)
		}
		h.router.mu.Lock()
		tracked := len(h.router.inFlight)
		h.router.mu.Unlock()
		if tracked > len(s.attempts) {
			s.fail("host %s tracks %d requests, but %d are running", h.name, tracked, len(s.attempts))
		}
	}
}

// checkConvergence runs without faults and checks that within 3 s of the first
// announcement all hosts of a data centre know the state of all its targets.
func (s *schedule) checkConvergence() {
	s.faultsOff = true
	clear(s.cutLinks)
	for _, t := range s.targets {
		t.failureProbability = 0
	}
	for n := range 45 {
		s.step(n)
	}
	for _, h := range s.hosts {
		for _, t := range s.targets {
			got, ok := h.table.Get(t.name)
			if t.dc == h.dc && (!ok || got.Incarnation != t.incarnation || got.Leaving != t.leaving || got.Slots != t.slots) {
				s.fail("host %s has announcement %+v of target %+v", h.name, got.Announcement, *t)
			}
		}
	}
}

// TestRandomSchedules guards against new requests on leaving targets, choices outside
// residency or reach, more than one probe of an ejected target, wrong in-flight counts
// and unbounded memory. To run 10,000 schedules:
// go test ./internal/routing -run TestRandomSchedules -schedules 10000
func TestRandomSchedules(t *testing.T) {
	served := 0
	for i := range *schedules {
		s := newSchedule(t, *scheduleSeed+uint64(i))
		for n := range 150 {
			s.step(n)
		}
		s.checkConvergence()
		served += s.served
	}
	if served == 0 {
		t.Error("no request was served, so the schedules checked nothing")
	}
	t.Logf("%d schedules from seed %d, %d requests served", *schedules, *scheduleSeed, served)
}
