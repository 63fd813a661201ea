package routing

import (
	"container/heap"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"geraniumturn.example/geraniumturn/internal/dispatch"
	"geraniumturn.example/geraniumturn/internal/refusal"
	"geraniumturn.example/geraniumturn/internal/targets"
)

// The simulation runs the real table, relay and router in simulated time. It simulates
// only the targets (slots, prefill, cache, delayed announcements), the network (delays)
// and the callers.

type event struct {
	at  time.Time
	seq int
	do  func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || h[i].at.Equal(h[j].at) && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

type simulation struct {
	random     *rand.Rand
	now        time.Time
	seq        int
	events     eventHeap
	hosts      []*simHost
	engines    []*simEngine
	delay      func(a, b string) time.Duration
	result     simResult
	measuring  bool
	nextID     int
	unfinished map[*simRequest]struct{}
}

type simResult struct {
	latencies  []time.Duration
	workspaces map[string][]time.Duration
	forwarded  int
	refused    int
	prefill    int64
	requests   int
	bySecond   map[int][]time.Duration // latencies by second of arrival in the measured time
	start      time.Time
}

type simHost struct {
	name, dc string
	table    *targets.Table
	relay    *targets.Relay
	router   *Router
	peers    []string
}

func (h *simHost) Local() []string    { return h.peers }
func (h *simHost) In(string) []string { return nil }

// simEngine is a target with continuous batching: running requests share its capacity,
// only uncached blocks are prefilled, and the cache evicts the least recently used
// prefix.
type simEngine struct {
	m             *simulation
	name, dc      string
	slots         int
	dcHosts       []*simHost
	prefill       time.Duration // per uncached token
	token         time.Duration // per output token
	prefillFreeAt time.Time     // one request at a time is prefilled
	running       int
	queue         []*simRequest
	incarnation   uint64
	sequence      uint64
	cacheSeq      uint64
	cache         map[uint64]int
	cacheOrder    []cacheUse
	cleared       bool
	cacheCapacity int
	lastUse       int
	down          bool
	reports       []simReport
}

type cacheUse struct {
	prefix uint64
	use    int
}

type simReport struct{ running, queued int }

type simRequest struct {
	req       *dispatch.Request
	workspace string
	arrived   time.Time
	output    int64
	done      func(*simRequest, time.Duration) // with the time to the first token
	started   time.Time
}

func newSimulation(seed uint64) *simulation {
	return &simulation{random: rand.New(rand.NewPCG(seed, 2)), now: time.Unix(1_000_000, 0), unfinished: map[*simRequest]struct{}{},
		result: simResult{workspaces: map[string][]time.Duration{}, bySecond: map[int][]time.Duration{}}}
}

func (m *simulation) after(d time.Duration, do func()) {
	m.seq++
	heap.Push(&m.events, event{m.now.Add(d), m.seq, do})
}

func (m *simulation) every(d time.Duration, do func()) {
	m.after(time.Duration(m.random.Int64N(int64(d))), func() { m.repeat(d, do) })
}

func (m *simulation) repeat(d time.Duration, do func()) {
	do()
	m.after(d, func() { m.repeat(d, do) })
}

func (m *simulation) run(until time.Time) {
	for len(m.events) > 0 && m.events[0].at.Before(until) {
		e := heap.Pop(&m.events).(event)
		m.now = e.at
		e.do()
	}
	m.now = until
}

// addHosts adds the hosts of the data centres, each with its own table, relay and
// router.
func (m *simulation) addHosts(perDC map[string]int, policy func() Policy, dataCentrePolicy DataCentrePolicy) {
	var names []string
	for dc := range perDC {
		names = append(names, dc)
	}
	slices.Sort(names)
	var hosts []RemoteHost
	for _, dc := range names {
		for i := range perDC[dc] {
			hosts = append(hosts, RemoteHost{Name: fmt.Sprintf("%s-h%d", dc, i), DataCentre: dc, Region: dc})
		}
	}
	for i, host := range hosts {
		h := &simHost{name: host.Name, dc: host.DataCentre, table: targets.NewTable(host.Name, host.DataCentre)}
		var others []RemoteHost
		for _, other := range hosts {
			if other.DataCentre != host.DataCentre {
				others = append(others, other)
			} else if other.Name != host.Name {
				h.peers = append(h.peers, other.Name)
			}
		}
		h.relay = targets.NewRelay(h.table, h)
		h.router = New(Config{Host: host.Name, DataCentre: host.DataCentre, Region: host.Region, Table: h.table,
			Hosts: HostsFunc(func() []RemoteHost { return others }), Now: func() time.Time { return m.now },
			Policy: policy(), DataCentrePolicy: dataCentrePolicy, Seed: uint64(i + 1)})
		m.hosts = append(m.hosts, h)
		m.every(100*time.Millisecond, func() { m.relayTick(h) })
		m.every(ExchangeInterval, func() { m.exchange(h) })
	}
}

func (m *simulation) host(name string) *simHost {
	return m.hosts[slices.IndexFunc(m.hosts, func(h *simHost) bool { return h.name == name })]
}

func (m *simulation) relayTick(h *simHost) {
	h.table.Tick(m.now)
	for _, message := range h.relay.Tick(m.now) {
		m.after(time.Millisecond, func() {
			response, err := m.host(message.Host).table.Receive(m.now, h.name, message.Request)
			if err != nil {
				response = nil
			}
			m.after(time.Millisecond, func() { h.relay.Done(m.now, message, response) })
		})
	}
}

func (m *simulation) exchange(h *simHost) {
	for _, call := range h.router.PrepareSummaryCalls() {
		delay := m.delay(h.dc, call.Host.DataCentre)
		m.after(delay, func() {
			response, err := m.host(call.Host.Name).router.BuildSummary(h.name, call.Request)
			if err != nil {
				response = nil
			}
			m.after(delay, func() { _ = h.router.CompleteSummaryCall(call, response) })
		})
	}
}

func (m *simulation) addEngine(e *simEngine) {
	e.m, e.incarnation, e.cache = m, 1, map[uint64]int{}
	for _, h := range m.hosts {
		if h.dc == e.dc {
			e.dcHosts = append(e.dcHosts, h)
		}
	}
	m.engines = append(m.engines, e)
	entryHost := e.dcHosts[len(m.engines)%len(e.dcHosts)]
	m.every(targets.AnnounceInterval, func() { e.announce(entryHost) })
}

// announce sends an announcement with the load of one interval ago.
func (e *simEngine) announce(h *simHost) {
	if e.down {
		return
	}
	e.sequence++
	e.reports = append(e.reports, simReport{e.running, len(e.queue)})
	report := e.reports[max(len(e.reports)-2, 0)]
	a := targets.Announcement{Name: e.name, Incarnation: e.incarnation, Sequence: e.sequence, Address: "127.0.0.1:1",
		Pool: "pool", DataCentre: e.dc, Models: []string{"model"}, Slots: e.slots, Running: report.running,
		Queued: report.queued, LagMS: 1000, Features: []string{"priority"}}
	if urgent, err := h.table.Announce(e.m.now, a); err == nil && urgent {
		h.relay.QueueUrgent(&a)
	}
}

func (e *simEngine) enqueue(r *simRequest) {
	if e.running >= e.slots {
		e.queue = append(e.queue, r)
		return
	}
	e.start(r)
}

func (e *simEngine) start(r *simRequest) {
	e.running++
	r.started = e.m.now
	cached := 0
	for _, p := range r.req.Prefixes {
		if _, ok := e.cache[p]; !ok {
			break
		}
		cached++
	}
	tokens := max(int64(len(r.req.Body)/bytesPerToken)-int64(cached)*TokensPerBlock, 1)
	if e.m.measuring {
		e.m.result.prefill += tokens
	}
	e.store(r.req.Prefixes)
	begin := e.m.now
	if e.prefillFreeAt.After(begin) {
		begin = e.prefillFreeAt
	}
	e.prefillFreeAt = begin.Add(time.Duration(tokens) * e.prefill)
	first := e.prefillFreeAt.Sub(e.m.now)
	slowdown := 1 + 0.3*float64(e.running)/float64(e.slots)
	total := first + time.Duration(float64(r.output)*float64(e.token)*slowdown)
	e.m.after(total, func() {
		e.running--
		if len(e.queue) > 0 && e.running < e.slots {
			next := e.queue[0]
			e.queue = e.queue[1:]
			e.start(next)
		}
		r.done(r, first)
	})
}

// store adds the prefixes to the cache and delivers the cache event 500 ms later. One
// event in 200 is lost.
func (e *simEngine) store(prefixes []uint64) {
	var stored, removed []targets.Prefix
	for _, p := range prefixes {
		e.lastUse++
		if _, ok := e.cache[p]; !ok {
			stored = append(stored, targets.Prefix(p))
		}
		e.cache[p] = e.lastUse
		e.cacheOrder = append(e.cacheOrder, cacheUse{p, e.lastUse})
	}
	for len(e.cache) > e.cacheCapacity {
		u := e.cacheOrder[0]
		e.cacheOrder = e.cacheOrder[1:]
		if e.cache[u.prefix] != u.use {
			continue // used again later
		}
		oldest := u.prefix
		delete(e.cache, oldest)
		removed = append(removed, targets.Prefix(oldest))
	}
	if len(stored)+len(removed) == 0 {
		return
	}
	e.cacheSeq++
	ev := &targets.CacheEvent{Target: e.name, Incarnation: e.incarnation, Sequence: e.cacheSeq, Stored: stored, Removed: removed}
	ev.Cleared, e.cleared = e.cleared, false
	lost := e.m.random.IntN(200) == 0
	e.m.after(500*time.Millisecond, func() {
		if !lost {
			_ = e.dcHosts[0].table.ApplyCacheEvent(ev)
		}
	})
}

// submit sends a request to an entry host.
func (m *simulation) submit(h *simHost, r *simRequest) {
	r.arrived = m.now
	m.unfinished[r] = struct{}{}
	m.nextID++
	r.req.ID = fmt.Sprint(m.nextID)
	r.req.Deadline = m.now.Add(time.Minute)
	m.choose(h, r, dispatch.Tried{Targets: map[string]bool{}, DataCentres: map[string]bool{}}, 0)
}

const (
	simRetryDelay = 250 * time.Millisecond
	simMaxRetries = 80
)

func (m *simulation) choose(h *simHost, r *simRequest, tried dispatch.Tried, tries int) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	choice, err := h.router.Choose(uncancellable{ctx}, r.req, tried)
	if err != nil {
		m.retry(h, r, err, tries)
		return
	}
	if choice.Target != nil {
		m.attempt(h, r, choice.Target, 0)
		return
	}
	delay := m.delay(h.dc, choice.Host.DataCentre)
	remote := m.host(choice.Host.Name)
	forwarded := *r
	request := *r.req
	request.Visited = []string{h.name, remote.name}
	forwarded.req = &request
	if m.measuring {
		m.result.forwarded++
	}
	m.after(delay, func() {
		remoteChoice, err := remote.router.Choose(uncancellable{ctx}, &request, dispatch.Tried{Targets: map[string]bool{}, DataCentres: map[string]bool{}})
		if err != nil {
			m.after(delay, func() {
				tried.DataCentres[choice.Host.DataCentre] = true
				m.choose(h, r, tried, tries)
			})
			return
		}
		m.attemptThen(remote, &forwarded, remoteChoice.Target, func() {
			m.after(delay, func() {
				h.router.mu.Lock()
				h.router.endStep(m.now, r.req.ID, false)
				h.router.mu.Unlock()
				m.record(r)
			})
		})
	})
}

// uncancellable is a context without cancellation; the tests end forwards themselves.
type uncancellable struct{ context.Context }

func (uncancellable) Done() <-chan struct{} { return nil }

func (m *simulation) retry(h *simHost, r *simRequest, err error, tries int) {
	if _, ok := err.(*refusal.Error); !ok || tries >= simMaxRetries {
		delete(m.unfinished, r)
		if m.measuring {
			m.result.refused++
		}
		return
	}
	m.after(simRetryDelay, func() {
		m.choose(h, r, dispatch.Tried{Targets: map[string]bool{}, DataCentres: map[string]bool{}}, tries+1)
	})
}

func (m *simulation) attempt(h *simHost, r *simRequest, t *targets.Target, _ int) {
	m.attemptThen(h, r, t, func() { m.record(r) })
}

func (m *simulation) attemptThen(h *simHost, r *simRequest, t *targets.Target, then func()) {
	e := m.engines[slices.IndexFunc(m.engines, func(e *simEngine) bool { return e.name == t.Name })]
	begun := m.now
	h.router.AttemptBegins(r.req, t)
	r.done = func(r *simRequest, first time.Duration) {
		h.router.AttemptEnded(dispatch.Outcome{Request: r.req, Target: e.name, Incarnation: t.Incarnation, Sent: true,
			Complete: true, Status: 200, FirstByte: r.started.Add(first).Sub(begun), Duration: m.now.Sub(begun)})
		then()
	}
	e.enqueue(r)
}

// record records the latency of a request. For requests that are unfinished at the end
// of the run, that is their age.
func (m *simulation) record(r *simRequest) {
	delete(m.unfinished, r)
	if r.arrived.Before(m.result.start) || !m.measuring {
		return
	}
	d := m.now.Sub(r.arrived)
	m.result.requests++
	m.result.latencies = append(m.result.latencies, d)
	m.result.workspaces[r.workspace] = append(m.result.workspaces[r.workspace], d)
	second := int(r.arrived.Sub(m.result.start) / time.Second)
	m.result.bySecond[second] = append(m.result.bySecond[second], d)
}

func quantile(d []time.Duration, q float64) time.Duration {
	if len(d) == 0 {
		return 0
	}
	sorted := slices.Clone(d)
	slices.Sort(sorted)
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
