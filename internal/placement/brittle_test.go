package placement_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"geraniumturn.example/geraniumturn/internal/placement"
	"geraniumturn.example/geraniumturn/internal/shares"
)

// brittleFleet simulates hosts that send to the same brittle targets and report their
// usage to each other with a delay.
type brittleFleet struct {
	rand    *rand.Rand
	now     time.Duration
	events  eventQueue
	hosts   []*simHost
	targets []*simTarget
	// statements is false for targets that do not say that they are brittle.
	statements bool
	// disturbed means that reports are lost, callers leave and a host restarts.
	disturbed                        bool
	falls, served, rejected, refused int
	shrinkAt, end                    time.Duration
	duration                         time.Duration // mean time of a request at its target
	reportInterval                   time.Duration
	engine                           bool
}

type simHost struct {
	*placement.Placer
	name  string
	names []string // of all hosts
	specs []placement.Spec
}

// start starts a process that does not know the other hosts yet.
func (h *simHost) start(seed uint64) {
	h.Placer = placement.New(placement.DefaultEngine(93_600), rand.New(rand.NewPCG(seed, 1)))
	h.SetTargets(h.specs)
}

func (h *simHost) discover() {
	others := slices.DeleteFunc(slices.Clone(h.names), func(other string) bool { return other == h.name })
	peers := shares.NewPeerSet(h.name, 0)
	h.SetHosts(others, func(key string, limit int) int { return peers.LimitShare(key, limit, h.names) })
}

// disturb makes reports get lost and callers leave, and restarts a host in each burst,
// which takes some seconds to know the others again.
func (f *brittleFleet) disturb() {
	f.disturbed = true
	for i, at := range []time.Duration{7 * second, 9 * second} {
		h := f.hosts[i%len(f.hosts)]
		f.after(at-f.now, func() {
			h.start(f.rand.Uint64())
			f.after(3*second, h.discover)
		})
	}
}

// lossRate is the part of the reports that are lost, and of the callers that leave, when a
// fleet is disturbed.
const lossRate = 0.15

func (f *brittleFleet) happens(rate float64) bool { return f.disturbed && f.rand.Float64() < rate }

type simTarget struct {
	id            string
	slots, limit  int
	running       int
	queue         []func()
	rejected      []time.Duration
	downUntil     time.Duration
	process       int
	queueCapacity int
}

type event struct {
	at time.Duration
	do func()
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(e any)        { *q = append(*q, e.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func (f *brittleFleet) after(d time.Duration, do func()) {
	heap.Push(&f.events, event{f.now + d, do})
}

func (f *brittleFleet) run() {
	for len(f.events) > 0 {
		e := heap.Pop(&f.events).(event)
		if f.now = e.at; f.now > f.end {
			return
		}
		e.do()
	}
}

// networkDelay is the time that a message takes one way.
func (f *brittleFleet) networkDelay() time.Duration {
	return 500*time.Microsecond + time.Duration(f.rand.Int64N(int64(2*ms)))
}

func newBrittleFleet(seed uint64, hosts, targets, slots, limit int, duration, reportInterval time.Duration, engine bool) *brittleFleet {
	f := &brittleFleet{rand: rand.New(rand.NewPCG(seed, 7)), now: second, statements: true, shrinkAt: 6 * second, end: 12 * second, duration: duration, reportInterval: reportInterval, engine: engine}
	var names []string
	for i := range hosts {
		names = append(names, fmt.Sprint("host", i))
	}
	var specs []placement.Spec
	for i := range targets {
		f.targets = append(f.targets, &simTarget{id: fmt.Sprint("t", i), slots: slots, limit: limit, queueCapacity: 2 * slots})
		s := placement.Spec{ID: fmt.Sprint("t", i), Address: fmt.Sprint(i), Service: "s", Slots: slots}
		if engine {
			s.CacheTokens = 350_000
		}
		specs = append(specs, s)
	}
	for _, name := range names {
		h := &simHost{name: name, names: names, specs: specs}
		h.start(f.rand.Uint64())
		h.discover()
		f.hosts = append(f.hosts, h)
		f.after(time.Duration(f.rand.Int64N(int64(reportInterval))), func() { f.report(h) })
	}
	f.after(f.shrinkAt-f.now, func() {
		for _, t := range f.targets {
			t.queueCapacity = f.rand.IntN(2)
		}
	})
	f.after(0, f.arrive)
	return f
}

// report sends the usage and the statements of a host to the others.
func (f *brittleFleet) report(h *simHost) {
	usage, brittle := h.OwnUsage(), h.RecentlyBrittle(f.now)
	for _, other := range f.hosts {
		if other != h && !f.happens(lossRate) {
			f.after(f.networkDelay(), func() {
				other.SetHostUsage(f.now, h.name, usage)
				for _, b := range brittle {
					other.RecordBrittle(b)
				}
			})
		}
	}
	f.after(f.reportInterval, func() { f.report(h) })
}

// capacity is the number of requests that the targets serve in a second.
func (f *brittleFleet) capacity() float64 {
	slots := 0
	for _, t := range f.targets {
		slots += t.slots
	}
	return float64(slots) / f.duration.Seconds()
}

// Two of three intervals are a burst. Served requests are counted from the first burst
// after the targets have shrunk their queues.
const (
	burstInterval = 1700 * ms
	countFrom     = 4 * burstInterval
)

func inBurst(at time.Duration) bool { return int(at/burstInterval)%3 != 0 }

// arrive lets a request arrive at a host: bursts of three times the capacity, of which
// one host gets half, and pauses with little load.
func (f *brittleFleet) arrive() {
	load := 0.3
	if f.now > 2*second && inBurst(f.now) {
		load = 3
	}
	f.after(time.Duration(f.rand.ExpFloat64()/(load*f.capacity())*float64(second)), f.arrive)
	h := f.hosts[f.rand.IntN(len(f.hosts))]
	if f.rand.IntN(2) == 0 {
		h = f.hosts[int(f.now/(2*second))%len(f.hosts)]
	}
	r := &placement.Request{Service: "s", Objective: second, TimeLeft: 10 * second}
	if f.engine {
		r.Model, r.PromptTokens, r.OutputTokens = "m", 800, 290
	}
	f.send(h, r, map[string]bool{})
}

// queueLimit is the expected time to first byte, as a multiple of the duration of a
// request, from which a host refuses a request.
const queueLimit = 3

// maxAttempts is the number of targets that a request is sent to if they reject it.
const maxAttempts = 2

func (f *brittleFleet) send(h *simHost, r *placement.Request, tried map[string]bool) {
	c, ok := h.Choose(f.now, r, func(id string) bool { return tried[id] })
	if !ok || c.TTFB > queueLimit*f.duration+200*ms {
		f.refused++
		return
	}
	tried[c.Target.ID] = true
	a := h.Start(f.now, c.Target, r)
	t := f.targets[slices.IndexFunc(f.targets, func(t *simTarget) bool { return t.id == c.Target.ID })]
	f.after(f.networkDelay(), func() { f.receive(h, r, tried, a, t) })
}

func (f *brittleFleet) receive(h *simHost, r *placement.Request, tried map[string]bool, a *placement.Attempt, t *simTarget) {
	process, placer, left := t.process, h.Placer, false
	statement := placement.Statement{}
	if f.statements {
		statement.Brittle = t.limit
	}
	done := func(o placement.Outcome) {
		f.after(f.networkDelay(), func() {
			if !left {
				placer.Done(f.now, a, o)
			}
		})
	}
	serve := func() {
		total := time.Duration((0.5 + f.rand.Float64()) * float64(f.duration))
		if f.happens(lossRate) { // the target does not notice that the caller has left
			f.after(time.Duration(f.rand.Float64()*float64(total)), func() {
				placer.Done(f.now, a, placement.Cancelled)
				left = true
			})
		}
		head := total
		if f.engine {
			head = total / 5
		}
		f.after(head, func() {
			if t.process == process {
				f.after(f.networkDelay(), func() {
					if !left {
						placer.RecordBytes(f.now, a)
						placer.Observe(f.now, a, statement)
						placer.FirstByte(a)
					}
				})
			}
		})
		f.after(total, func() {
			if t.process != process {
				done(placement.Broken)
				return
			}
			if t.running--; len(t.queue) > 0 {
				next := t.queue[0]
				t.queue, t.running = t.queue[1:], t.running+1
				next()
			}
			if f.now >= countFrom {
				f.served++
			}
			placer.RecordBytes(f.now, a)
			done(placement.Served)
		})
	}
	switch {
	case f.now < t.downUntil:
		done(placement.Unreachable)
	case t.running < t.slots:
		t.running++
		serve()
	case len(t.queue) < t.queueCapacity:
		t.queue = append(t.queue, serve)
	default:
		f.reject(t)
		statement.Rejected = true
		f.after(f.networkDelay(), func() {
			placer.Observe(f.now, a, statement)
			placer.Done(f.now, a, placement.Rejected)
			if len(tried) < maxAttempts {
				f.send(h, r, tried)
			}
		})
	}
}

// reject counts a rejection. Above its limit the target fails and restarts.
func (f *brittleFleet) reject(t *simTarget) {
	f.rejected++
	t.rejected = append(slices.DeleteFunc(t.rejected, func(at time.Duration) bool { return f.now-at > second }), f.now)
	if len(t.rejected) > t.limit {
		f.falls++
		t.process++
		t.running, t.queue, t.rejected, t.downUntil = 0, nil, nil, f.now+3*second
	}
}

type brittleCase struct {
	hosts, targets, slots, limit int
	duration, reportInterval     time.Duration
	engine                       bool
}

var brittleCases = []brittleCase{
	{2, 3, 6, 4, 40 * ms, 100 * ms, false},
	{2, 10, 64, 5, 1500 * ms, 100 * ms, true},
	{4, 3, 6, 3, 40 * ms, 100 * ms, false},
	{4, 9, 64, 8, 800 * ms, 100 * ms, true},
	{4, 30, 16, 4, 300 * ms, 100 * ms, false},
	{12, 30, 32, 6, 1500 * ms, 200 * ms, true},
	{41, 8, 64, 10, 1500 * ms, 800 * ms, true},
}

func (c brittleCase) String() string {
	return fmt.Sprintf("%d hosts, %d targets with %d slots, limit %d", c.hosts, c.targets, c.slots, c.limit)
}

// maxFalls is the number of targets that may fail while a service is brittle.
func (c brittleCase) maxFalls() int { return 2 + c.targets/10 }

func (c brittleCase) fleet(seed uint64) *brittleFleet {
	return newBrittleFleet(seed, c.hosts, c.targets, c.slots, c.limit, c.duration, c.reportInterval, c.engine)
}

// Load: bursts of three times the capacity from several hosts, unevenly, at targets that
// stop queueing after some seconds. Guards against targets that fail because the hosts
// together cause more rejections than they survive, and against hosts that prevent this
// by leaving the targets idle.
func TestBrittleTargetsSurviveBursts(t *testing.T) {
	// minUtilisation is the part of what can be served that must be served: less than
	// that is lost while one of seven targets restarts.
	const minUtilisation = 0.85
	for i, c := range brittleCases {
		t.Run(c.String(), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(3) {
				f := c.fleet(100*uint64(i) + seed)
				f.run()
				if f.falls > c.maxFalls() {
					t.Errorf("seed %d: %d targets failed, at most %d may", seed, f.falls, c.maxFalls())
				}
				used := float64(f.served) / (f.capacity() * f.loadedTime().Seconds())
				possible := 1.0
				if c.duration < c.reportInterval {
					possible = f.servedWithFixedShares()
				}
				if used < minUtilisation*possible {
					t.Errorf("seed %d: %.2f of the capacity was used, %.2f was possible", seed, used, possible)
				}
				t.Logf("seed %d: %d failed, %d rejected, %d refused, %d served, %.2f of the capacity", seed, f.falls, f.rejected, f.refused, f.served, used)
			}
		})
	}
}

// Load: the same, at targets that have fewer slots than they announced. Guards against
// hosts that go on causing rejections because the targets seem to have room.
func TestBrittleTargetsWithLessRoomThanAnnounced(t *testing.T) {
	for i, c := range brittleCases {
		t.Run(c.String(), func(t *testing.T) {
			t.Parallel()
			f := c.fleet(1000 + uint64(i))
			for _, target := range f.targets {
				target.slots -= max(1, target.slots/8)
			}
			f.run()
			if f.falls > c.maxFalls() {
				t.Errorf("%d targets failed, at most %d may", f.falls, c.maxFalls())
			}
			t.Logf("%d failed, %d rejected, %d refused, %d served", f.falls, f.rejected, f.refused, f.served)
		})
	}
}

// Load: the same, while reports are lost, callers leave requests that their targets go on
// with, and hosts restart. Guards against hosts that take what they do not know for room.
func TestBrittleTargetsSurviveDisturbedHosts(t *testing.T) {
	for i, c := range brittleCases {
		t.Run(c.String(), func(t *testing.T) {
			t.Parallel()
			f := c.fleet(2000 + uint64(i))
			f.disturb()
			f.run()
			if f.falls > c.maxFalls() {
				t.Errorf("%d targets failed, at most %d may", f.falls, c.maxFalls())
			}
			t.Logf("%d failed, %d rejected, %d refused, %d served", f.falls, f.rejected, f.refused, f.served)
		})
	}
}

// servedWithFixedShares returns the part of the capacity that is used in a burst if each
// host has a fixed share of the slots, none queues, and a slot is taken on the way to and
// from its target too. Requests that are shorter than the time between two reports allow
// no more.
func (f *brittleFleet) servedWithFixedShares() float64 {
	slots := 0
	for _, t := range f.targets {
		slots += t.slots
	}
	occupied := f.duration + 3*ms // with the mean network delay both ways
	share := slots / len(f.hosts)
	load := 3 * float64(slots) * occupied.Seconds() / f.duration.Seconds()
	even := load / 2 / float64(len(f.hosts))
	carried := func(load float64) float64 {
		blocked := 1.0 // Erlang's loss formula
		for n := 1; n <= share; n++ {
			blocked = load * blocked / (float64(n) + load*blocked)
		}
		return load * (1 - blocked)
	}
	total := carried(even+load/2) + float64(len(f.hosts)-1)*carried(even)
	return total * f.duration.Seconds() / occupied.Seconds() / float64(slots)
}

// loadedTime is the time with which the served requests are compared: that of the bursts
// since countFrom, and the part of the pauses that their load takes.
func (f *brittleFleet) loadedTime() (total time.Duration) {
	for at := countFrom; at < f.end; at += ms {
		if inBurst(at) {
			total += ms
		} else {
			total += 3 * ms / 10
		}
	}
	return total
}

// Guards against a model in which nothing fails: hosts that do not know of the limits
// bring targets down.
func TestBrittleTargetsFailWithoutLimits(t *testing.T) {
	f := newBrittleFleet(1, 2, 10, 64, 5, 1500*ms, 100*ms, true)
	f.statements = false
	f.run()
	if f.falls <= 3 {
		t.Errorf("%d targets failed", f.falls)
	}
}

// accepted returns how many requests a target gets one after the other while none ends.
func accepted(p *placement.Placer, now time.Duration) (n int) {
	for ; n < 100; n++ {
		r := &placement.Request{Service: "s", Objective: second, TimeLeft: 10 * second}
		c, ok := p.Choose(now, r, nil)
		if !ok {
			return n
		}
		p.Start(now, c.Target, r)
	}
	return n
}

func plainTargets(n int) (specs []placement.Spec) {
	for i := range n {
		specs = append(specs, placement.Spec{ID: fmt.Sprint("t", i), Service: "s", Slots: 8})
	}
	return specs
}

func newPlainPlacer(specs []placement.Spec) *placement.Placer {
	p := newPlacer(specs)
	p.SetHosts(nil, func(_ string, limit int) int { return limit })
	return p
}

// respond lets a target of an otherwise idle host answer one request.
func respond(t *testing.T, p *placement.Placer, now time.Duration, target int, s placement.Statement) []placement.Change {
	t.Helper()
	r := &placement.Request{Service: "s", Objective: second, TimeLeft: 10 * second}
	c, ok := p.Choose(now, r, func(id string) bool { return id != fmt.Sprint("t", target) })
	if !ok {
		t.Fatalf("target %d gets no request", target)
	}
	a := p.Start(now, c.Target, r)
	changes := p.Observe(now, a, s)
	outcome := placement.Served
	if s.Rejected {
		outcome = placement.Rejected
	}
	p.Done(now, a, outcome)
	return changes
}

// Guards against requests that queue at a target because another one said first that the
// service is brittle, and against a service that stays brittle after its targets no longer
// say so, or say nothing for long.
func TestBrittleServiceEnds(t *testing.T) {
	const all = 100
	statement := placement.Statement{Brittle: 4}
	for name, c := range map[string]struct {
		do   func(p *placement.Placer)
		at   time.Duration
		want int
	}{
		"not brittle":        {func(*placement.Placer) {}, 2 * second, all},
		"one target says so": {func(p *placement.Placer) { respond(t, p, second, 0, statement) }, 2 * second, 16},
		"both no longer": {func(p *placement.Placer) {
			respond(t, p, second, 0, statement)
			respond(t, p, 2*second, 0, placement.Statement{})
			respond(t, p, 2*second, 1, placement.Statement{})
		}, 3 * second, all},
		"a target says nothing": {func(p *placement.Placer) { respond(t, p, second, 0, statement) }, 20 * second, all},
		"another host was told": {func(p *placement.Placer) {
			p.RecordBrittle(placement.BrittleTarget{Target: "t1", Limit: 4, StatedAt: second})
		}, 2 * second, 16},
		"an old report of this host": {func(p *placement.Placer) {
			respond(t, p, second, 0, statement)
			respond(t, p, 2*second, 0, placement.Statement{})
			respond(t, p, 2*second, 1, placement.Statement{})
			p.RecordBrittle(placement.BrittleTarget{Target: "t1", Limit: 4, StatedAt: second})
		}, 3 * second, all},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPlainPlacer(plainTargets(2))
			c.do(p)
			got := 0
			for at := c.at; at < c.at+2*second; at += 100 * ms { // slots are taken gradually
				got = min(all, got+accepted(p, at))
			}
			if got != c.want {
				t.Errorf("%d requests, want %d", got, c.want)
			}
		})
	}
}

// Guards against requests, also as a last resort, to a brittle target that has just
// rejected one, and against hosts that reject more together than it survives.
func TestBrittleTargetIsLeftAloneAfterRejection(t *testing.T) {
	rejection := placement.Statement{Brittle: 4, Rejected: true}
	for _, hosts := range []int{1, 4, 20} {
		p := newPlacer(plainTargets(1))
		var others []string
		for i := range hosts - 1 {
			others = append(others, fmt.Sprint("h", i))
		}
		p.SetHosts(others, func(_ string, limit int) int { return max(1, limit/hosts) })
		rejections := 0
		for now := second; now < 21*second; now += 10 * ms {
			if got := chosenPlain(p, now); !got {
				continue
			}
			if changes := respond(t, p, now, 0, rejection); len(changes) != 1 || changes[0].Cause != placement.CauseRejection || changes[0].Until <= now {
				t.Fatalf("changes %+v", changes)
			}
			rejections++
		}
		if perSecond := float64(hosts*rejections) / 20; perSecond > 3 || rejections == 0 {
			t.Errorf("%d hosts: %.1f rejections in a second at a target that survives 4", hosts, perSecond)
		}
	}
	p := newPlainPlacer(plainTargets(1))
	if changes := respond(t, p, second, 0, placement.Statement{Rejected: true}); len(changes) > 0 || !chosenPlain(p, second) {
		t.Errorf("a rejection by a target that is not brittle changes %+v", changes)
	}
}

func chosenPlain(p *placement.Placer, now time.Duration) bool {
	_, ok := p.Choose(now, &placement.Request{Service: "s", Objective: second, TimeLeft: 10 * second}, nil)
	return ok
}

// Guards against a log without the beginning or the end of the time in which a service is
// brittle, and against statements that are not passed on.
func TestBrittleServiceIsReported(t *testing.T) {
	p := newPlainPlacer(plainTargets(2))
	respond(t, p, second, 0, placement.Statement{Brittle: 4})
	if changes := p.Poll(second); len(changes) != 1 || changes[0].Cause != placement.CauseBrittle || changes[0].Ended || changes[0].Limit != 4 {
		t.Errorf("changes %+v", changes)
	}
	if reports := p.RecentlyBrittle(2 * second); len(reports) != 1 || reports[0].Target != "t0" || reports[0].StatedAt != second {
		t.Errorf("reports %+v", reports)
	}
	if changes := p.Poll(10 * second); len(changes) > 0 {
		t.Errorf("changes %+v", changes)
	}
	if reports := p.RecentlyBrittle(10 * second); len(reports) > 0 {
		t.Errorf("reports %+v of a statement that is 9 s old", reports)
	}
	if changes := p.Poll(20 * second); len(changes) != 1 || !changes[0].Ended {
		t.Errorf("changes %+v", changes)
	}
	if wait, ok := p.AvailableIn(20*second, &placement.Request{Service: "s"}); !ok || wait != 0 {
		t.Errorf("available in %s", wait)
	}
}
