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

// The schedule test runs hosts of three data centres, with lost, repeated,
// late and crossed messages, cuts between any two hosts, restarts of hosts and
// targets, targets that leave, fall silent, fail requests or announce
// themselves elsewhere. It checks the invariants at each choice, against what
// really happened.
type schedule struct {
	t       *testing.T
	random  *rand.Rand
	seed    uint64
	now     time.Time
	hosts   []*scheduleHost
	targets []*scheduleTarget
	mail    []letter
	running []*scheduleRequest
	cut     map[string]bool
	calm    bool
	nextID  int
	served  int
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
	// leftAt is when the first host accepted that this incarnation leaves.
	leftAt time.Time
	silent bool
	failsP float64
	slots  int
}

type letter struct {
	at time.Time
	do func()
}

type scheduleRequest struct {
	host   *scheduleHost
	req    *dispatch.Request
	target targets.Target
	until  time.Time
}

const scheduleStep = 100 * time.Millisecond

func newSchedule(t *testing.T, seed uint64) *schedule {
	s := &schedule{t: t, random: rand.New(rand.NewPCG(seed, 5)), seed: seed, now: time.Unix(1000, 0), cut: map[string]bool{}}
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
			var out []RemoteHost
			for _, o := range s.hosts {
				if o.dc != h.dc {
					out = append(out, RemoteHost{Name: o.name, DataCentre: o.dc, Region: o.region})
				}
			}
			return out
		})})
	s.running = slices.DeleteFunc(s.running, func(r *scheduleRequest) bool { return r.host == h })
}

func (s *schedule) fail(format string, args ...any) {
	s.t.Helper()
	s.t.Fatalf("seed %d at %v: %s", s.seed, s.now.Sub(time.Unix(1000, 0)), fmt.Sprintf(format, args...))
}

// send delivers a message between hosts after a delay, unless it is lost. Late
// messages keep within the time that transitAllowance assumes.
func (s *schedule) send(from, to string, do, lost func()) {
	if s.cut[from+to] || (!s.calm && s.random.IntN(10) == 0) {
		s.post(100*time.Millisecond, lost)
		return
	}
	s.post(time.Duration(1+s.random.Int64N(95))*time.Millisecond, do)
	if !s.calm && s.random.IntN(20) == 0 && do != nil {
		s.post(time.Duration(1+s.random.Int64N(95))*time.Millisecond, do) // repeated, perhaps crossed
	}
}

func (s *schedule) post(d time.Duration, do func()) {
	if do != nil {
		s.mail = append(s.mail, letter{s.now.Add(d), do})
	}
}

func (s *schedule) step(n int) {
	s.now = s.now.Add(scheduleStep)
	if !s.calm {
		s.disturb()
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

// deliver runs the letters that are due, in order of time.
func (s *schedule) deliver() {
	end := s.now
	for {
		slices.SortStableFunc(s.mail, func(a, b letter) int { return a.at.Compare(b.at) })
		if len(s.mail) == 0 || s.mail[0].at.After(end) {
			s.now = end
			return
		}
		l := s.mail[0]
		s.mail = s.mail[1:]
		s.now = l.at
		l.do()
	}
}

func (s *schedule) disturb() {
	t := s.targets[s.random.IntN(len(s.targets))]
	switch s.random.IntN(60) {
	case 0:
		t.leaving = true
		s.announce(t) // at once, so that it may cross the one before
	case 1:
		t.incarnation++
		t.sequence, t.cacheSeq, t.leaving, t.leftAt, t.silent = 0, 0, false, time.Time{}, false
	case 2:
		t.silent = !t.silent
	case 3:
		t.failsP = []float64{0, 0.5, 1}[s.random.IntN(3)]
	case 4:
		a, b := s.hosts[s.random.IntN(len(s.hosts))].name, s.hosts[s.random.IntN(len(s.hosts))].name
		s.cut[a+b], s.cut[b+a] = true, true
	case 5:
		clear(s.cut)
	case 6:
		s.startHost(s.hosts[s.random.IntN(len(s.hosts))])
	case 7:
		t.slots = 1 + s.random.IntN(4)
	}
}

func (s *schedule) announce(t *scheduleTarget) {
	if t.silent && !s.calm {
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
	if !s.calm && s.random.IntN(8) == 0 {
		h = others[s.random.IntN(len(others))]
	}
	t.sequence++
	a := targets.Announcement{Name: t.name, Incarnation: t.incarnation, Sequence: t.sequence, Address: "127.0.0.1:9",
		Pool: "pool", DataCentre: t.dc, Models: []string{"model"}, Slots: t.slots, Running: s.random.IntN(t.slots + 1),
		LagMS: 1000, Leaving: t.leaving}
	s.send(t.name, h.name, func() { s.arrive(h, t, a) }, nil)
	if s.random.IntN(3) == 0 {
		t.cacheSeq++
		if s.random.IntN(10) == 0 {
			t.cacheSeq++ // a gap
		}
		e := targets.CacheEvent{Target: t.name, Incarnation: t.incarnation, Sequence: t.cacheSeq, Stored: []targets.Prefix{targets.Prefix(s.random.Uint64N(50))}}
		s.send(t.name, h.name, func() { _ = h.table.ApplyCacheEvent(&e) }, nil)
	}
}

func (s *schedule) arrive(h *scheduleHost, t *scheduleTarget, a targets.Announcement) {
	urgent, err := h.table.Announce(s.now, a)
	if err != nil && !errors.Is(err, targets.ErrStale) {
		s.fail("announcement refused: %v", err)
	}
	if urgent {
		h.relay.QueueUrgent(&a)
	}
	if err == nil && a.Leaving && a.Incarnation == t.incarnation && t.leftAt.IsZero() {
		t.leftAt = s.now
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
				s.fail("relay refused: %v", err)
			}
			s.send(m.Host, h.name, func() { relay.Done(s.now, m, response) }, func() { relay.Done(s.now, m, nil) })
		}, func() { relay.Done(s.now, m, nil) })
	}
	if !exchange {
		return
	}
	router := h.router
	for _, q := range router.PrepareSummaryCalls() {
		s.send(h.name, q.Host.Name, func() {
			answer, err := s.host(q.Host.Name).router.BuildSummary(h.name, q.Request)
			if err != nil {
				s.fail("summary refused: %v", err)
			}
			s.send(q.Host.Name, h.name, func() {
				if err := router.CompleteSummaryCall(q, answer); err != nil {
					s.fail("summary: %v", err)
				}
			}, func() { _ = router.CompleteSummaryCall(q, nil) })
		}, func() { _ = router.CompleteSummaryCall(q, nil) })
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
	there := s.host(choice.Host.Name)
	req.Visited = append(req.Visited, there.name)
	if s.cut[h.name+there.name] {
		s.endForward(h, req, true)
		return
	}
	again, ok := s.choose(there, req)
	if ok && again.Host != nil {
		s.fail("a forwarded request was forwarded again")
	}
	s.endForward(h, req, !ok)
}

func (s *schedule) endForward(h *scheduleHost, req *dispatch.Request, failed bool) {
	h.router.mu.Lock()
	defer h.router.mu.Unlock()
	h.router.finish(s.now, req.ID, failed)
}

func (s *schedule) choose(h *scheduleHost, req *dispatch.Request) (dispatch.Choice, bool) {
	choice, err := h.router.Choose(noAfter{context.Background()}, req, dispatch.Tried{Targets: map[string]bool{}, DataCentres: map[string]bool{}})
	if err != nil {
		if _, ok := errors.AsType[*refusal.Error](err); !ok {
			s.fail("choose: %v", err)
		}
		return choice, false
	}
	if choice.Host != nil {
		s.checkPlace(h, req, choice.Host.DataCentre)
		return choice, true
	}
	s.checkPlace(h, req, choice.Target.DataCentre)
	s.begin(h, req, *choice.Target)
	return choice, true
}

// checkPlace checks residency and reach at a choice.
func (s *schedule) checkPlace(h *scheduleHost, req *dispatch.Request, dc string) {
	if len(req.Residency) > 0 && !slices.Contains(req.Residency, dc) {
		s.fail("residency %v, sent to %s", req.Residency, dc)
	}
	region := map[string]string{"a": "r1", "b": "r1", "c": "r2"}
	if req.Reach == rules.ReachDataCentre && dc != h.dc || req.Reach == rules.ReachRegion && region[dc] != h.region {
		s.fail("reach %s, sent from %s to %s", req.Reach, h.dc, dc)
	}
}

func (s *schedule) begin(h *scheduleHost, req *dispatch.Request, chosen targets.Target) {
	truth := s.targets[slices.IndexFunc(s.targets, func(t *scheduleTarget) bool { return t.name == chosen.Name })]
	if truth.incarnation == chosen.Incarnation && truth.leaving && !truth.leftAt.IsZero() && s.now.Sub(truth.leftAt) > targets.SilenceLimit {
		s.fail("%s got new work from %s %v after it left", chosen.Name, h.name, s.now.Sub(truth.leftAt))
	}
	if chosen.Ejected {
		for _, r := range s.running {
			if r.host == h && r.target.Name == chosen.Name && r.target.Ejected {
				s.fail("ejected target %s got a second probe", chosen.Name)
			}
		}
	}
	h.router.AttemptBegins(req, &chosen)
	s.running = append(s.running, &scheduleRequest{h, req, chosen, s.now.Add(time.Duration(s.random.Int64N(int64(2 * time.Second))))})
}

func (s *schedule) finishRequests() {
	s.running = slices.DeleteFunc(s.running, func(r *scheduleRequest) bool {
		if r.until.After(s.now) {
			return false
		}
		truth := s.targets[slices.IndexFunc(s.targets, func(t *scheduleTarget) bool { return t.name == r.target.Name })]
		out := dispatch.Outcome{Request: r.req, Target: r.target.Name, Incarnation: r.target.Incarnation, Sent: true,
			Duration: time.Second, FirstByte: 100 * time.Millisecond}
		out.Complete = truth.incarnation == r.target.Incarnation && s.random.Float64() >= truth.failsP
		out.ConnectionFailed = !out.Complete
		out.Cancelled = s.random.IntN(10) == 0 && !out.Complete
		if out.Complete {
			out.Status = 200
			s.served++
		}
		r.host.router.AttemptEnded(out)
		return true
	})
}

// checkHosts checks the counts and bounds of each host.
func (s *schedule) checkHosts() {
	for _, h := range s.hosts {
		counts := map[string]int{}
		for _, r := range s.running {
			if r.host == h {
				counts[fmt.Sprint(r.target.Name, r.target.Incarnation)]++
			}
		}
		known := h.table.All()
		if len(known) > targets.MaxTargets {
			s.fail("%s holds %d targets", h.name, len(known))
		}
		for _, t := range known {
			if want := counts[fmt.Sprint(t.Name, t.Incarnation)]; t.InFlight != want {
				s.fail("%s counts %d requests on %s, %d are running", h.name, t.InFlight, t.Name, want)
			}
		}
		stats, router := h.table.Stats(), h.router.Stats()
		if stats.NegativeInFlight+stats.LeavingWork+router.ResidencyViolations+router.ReachViolations != 0 {
			s.fail("%s: an invariant is broken: %+v %+v", h.name, stats, router)
		}
		h.router.mu.Lock()
		under := len(h.router.under)
		h.router.mu.Unlock()
		if under > len(s.running) {
			s.fail("%s remembers %d requests, %d are running", h.name, under, len(s.running))
		}
	}
}

// settle runs without disturbances and checks that within 3 s of the first
// announcement all hosts of a data centre know all its live targets.
func (s *schedule) settle() {
	s.calm = true
	clear(s.cut)
	for _, t := range s.targets {
		t.failsP = 0
	}
	for n := range 45 {
		s.step(n)
	}
	for _, h := range s.hosts {
		for _, t := range s.targets {
			got, ok := h.table.Get(t.name)
			if t.dc == h.dc && (!ok || got.Incarnation != t.incarnation || got.Leaving != t.leaving || got.Slots != t.slots) {
				s.fail("%s knows %+v of %+v", h.name, got.Announcement, *t)
			}
		}
	}
}

// Guards against new work on leaving targets, choices outside residency or
// reach, more than probes on ejected targets, wrong counts and growing memory.
// Ten thousand schedules:
// go test ./internal/routing -run TestRandomSchedules -schedules 10000
func TestRandomSchedules(t *testing.T) {
	served := 0
	for i := range *schedules {
		s := newSchedule(t, *scheduleSeed+uint64(i))
		for n := range 150 {
			s.step(n)
		}
		s.settle()
		served += s.served
	}
	if served == 0 {
		t.Error("no request was served, so the schedules prove nothing")
	}
	t.Logf("%d schedules from seed %d, %d requests served", *schedules, *scheduleSeed, served)
}
