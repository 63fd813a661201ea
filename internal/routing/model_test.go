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

// The model drives the real table, relay and router with simulated time. It
// replaces only the targets (slots, prefill, cache, lagging reports), the
// network (delays) and the callers.

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

type model struct {
	random  *rand.Rand
	now     time.Time
	seq     int
	events  eventHeap
	hosts   []*modelHost
	engines []*modelEngine
	delay   func(a, b string) time.Duration
	result  modelResult
	counted bool
	nextID  int
	open    map[*modelRequest]struct{}
}

type modelResult struct {
	latencies  []time.Duration
	workspaces map[string][]time.Duration
	sentAway   int
	refused    int
	prefill    int64
	requests   int
	series     map[int][]time.Duration // by second of the measured time
	start      time.Time
}

type modelHost struct {
	name, dc string
	table    *targets.Table
	relay    *targets.Relay
	router   *Router
	peers    []string
}

func (h *modelHost) Local() []string    { return h.peers }
func (h *modelHost) In(string) []string { return nil }

// modelEngine is a target with continuous batching: running requests share it,
// prefill is computed for uncached blocks, and the cache evicts the least
// recently used prefix.
type modelEngine struct {
	m           *model
	name, dc    string
	slots       int
	announceTo  []*modelHost
	prefill     time.Duration // per uncached token
	token       time.Duration // per output token
	prefillFree time.Time     // prefill is computed by one request at a time
	running     int
	queue       []*modelRequest
	incarnation uint64
	sequence    uint64
	cacheSeq    uint64
	cache       map[uint64]int
	cacheOrder  []cacheUse
	cleared     bool
	cacheRoom   int
	use         int
	down        bool
	reports     []modelReport
}

type cacheUse struct {
	prefix uint64
	use    int
}

type modelReport struct{ running, queued int }

type modelRequest struct {
	req       *dispatch.Request
	workspace string
	arrived   time.Time
	output    int64
	done      func(*modelRequest, time.Duration) // with the time to the first token
	started   time.Time
}

func newModel(seed uint64) *model {
	return &model{random: rand.New(rand.NewPCG(seed, 2)), now: time.Unix(1_000_000, 0), open: map[*modelRequest]struct{}{},
		result: modelResult{workspaces: map[string][]time.Duration{}, series: map[int][]time.Duration{}}}
}

func (m *model) after(d time.Duration, do func()) {
	m.seq++
	heap.Push(&m.events, event{m.now.Add(d), m.seq, do})
}

func (m *model) every(d time.Duration, do func()) {
	m.after(time.Duration(m.random.Int64N(int64(d))), func() { m.repeat(d, do) })
}

func (m *model) repeat(d time.Duration, do func()) {
	do()
	m.after(d, func() { m.repeat(d, do) })
}

func (m *model) run(until time.Time) {
	for len(m.events) > 0 && m.events[0].at.Before(until) {
		e := heap.Pop(&m.events).(event)
		m.now = e.at
		e.do()
	}
	m.now = until
}

// addHosts adds the hosts of the data centres, each with real components.
func (m *model) addHosts(perDC map[string]int, policy func() Policy, sitePolicy DataCentrePolicy) {
	var names []string
	for dc := range perDC {
		names = append(names, dc)
	}
	slices.Sort(names)
	var sites []RemoteHost
	for _, dc := range names {
		for i := range perDC[dc] {
			sites = append(sites, RemoteHost{Name: fmt.Sprintf("%s-h%d", dc, i), DataCentre: dc, Region: dc})
		}
	}
	for i, s := range sites {
		h := &modelHost{name: s.Name, dc: s.DataCentre, table: targets.NewTable(s.Name, s.DataCentre)}
		var others []RemoteHost
		for _, o := range sites {
			if o.DataCentre != s.DataCentre {
				others = append(others, o)
			} else if o.Name != s.Name {
				h.peers = append(h.peers, o.Name)
			}
		}
		h.relay = targets.NewRelay(h.table, h)
		h.router = New(Config{Host: s.Name, DataCentre: s.DataCentre, Region: s.Region, Table: h.table,
			Hosts: HostsFunc(func() []RemoteHost { return others }), Now: func() time.Time { return m.now },
			Policy: policy(), DataCentrePolicy: sitePolicy, Seed: uint64(i + 1)})
		m.hosts = append(m.hosts, h)
		m.every(100*time.Millisecond, func() { m.relayTick(h) })
		m.every(ExchangeInterval, func() { m.exchange(h) })
	}
}

func (m *model) host(name string) *modelHost {
	return m.hosts[slices.IndexFunc(m.hosts, func(h *modelHost) bool { return h.name == name })]
}

func (m *model) relayTick(h *modelHost) {
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

func (m *model) exchange(h *modelHost) {
	for _, q := range h.router.PrepareSummaryCalls() {
		delay := m.delay(h.dc, q.Host.DataCentre)
		m.after(delay, func() {
			answer, err := m.host(q.Host.Name).router.BuildSummary(h.name, q.Request)
			if err != nil {
				answer = nil
			}
			m.after(delay, func() { _ = h.router.CompleteSummaryCall(q, answer) })
		})
	}
}

func (m *model) addEngine(e *modelEngine) {
	e.m, e.incarnation, e.cache = m, 1, map[uint64]int{}
	for _, h := range m.hosts {
		if h.dc == e.dc {
			e.announceTo = append(e.announceTo, h)
		}
	}
	m.engines = append(m.engines, e)
	home := e.announceTo[len(m.engines)%len(e.announceTo)]
	m.every(targets.AnnounceInterval, func() { e.announce(home) })
}

// announce reports the load of one interval ago.
func (e *modelEngine) announce(h *modelHost) {
	if e.down {
		return
	}
	e.sequence++
	e.reports = append(e.reports, modelReport{e.running, len(e.queue)})
	report := e.reports[max(len(e.reports)-2, 0)]
	a := targets.Announcement{Name: e.name, Incarnation: e.incarnation, Sequence: e.sequence, Address: "127.0.0.1:1",
		Pool: "pool", DataCentre: e.dc, Models: []string{"model"}, Slots: e.slots, Running: report.running,
		Queued: report.queued, LagMS: 1000, Features: []string{"priority"}}
	if urgent, err := h.table.Announce(e.m.now, a); err == nil && urgent {
		h.relay.QueueUrgent(&a)
	}
}

func (e *modelEngine) take(r *modelRequest) {
	if e.running >= e.slots {
		e.queue = append(e.queue, r)
		return
	}
	e.start(r)
}

func (e *modelEngine) start(r *modelRequest) {
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
	if e.m.counted {
		e.m.result.prefill += tokens
	}
	e.store(r.req.Prefixes)
	begin := e.m.now
	if e.prefillFree.After(begin) {
		begin = e.prefillFree
	}
	e.prefillFree = begin.Add(time.Duration(tokens) * e.prefill)
	first := e.prefillFree.Sub(e.m.now)
	slow := 1 + 0.3*float64(e.running)/float64(e.slots)
	whole := first + time.Duration(float64(r.output)*float64(e.token)*slow)
	e.m.after(whole, func() {
		e.running--
		if len(e.queue) > 0 && e.running < e.slots {
			next := e.queue[0]
			e.queue = e.queue[1:]
			e.start(next)
		}
		r.done(r, first)
	})
}

// store adds the prefixes to the cache and publishes events a little later.
func (e *modelEngine) store(prefixes []uint64) {
	var stored, removed []targets.Prefix
	for _, p := range prefixes {
		e.use++
		if _, ok := e.cache[p]; !ok {
			stored = append(stored, targets.Prefix(p))
		}
		e.cache[p] = e.use
		e.cacheOrder = append(e.cacheOrder, cacheUse{p, e.use})
	}
	for len(e.cache) > e.cacheRoom {
		u := e.cacheOrder[0]
		e.cacheOrder = e.cacheOrder[1:]
		if e.cache[u.prefix] != u.use {
			continue // used again since
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
			_ = e.announceTo[0].table.ApplyCacheEvent(ev)
		}
	})
}

// submit brings a request to an entry host.
func (m *model) submit(h *modelHost, r *modelRequest) {
	r.arrived = m.now
	m.open[r] = struct{}{}
	m.nextID++
	r.req.ID = fmt.Sprint(m.nextID)
	r.req.Deadline = m.now.Add(time.Minute)
	m.choose(h, r, dispatch.Tried{Targets: map[string]bool{}, DataCentres: map[string]bool{}}, 0)
}

const (
	modelRetry   = 250 * time.Millisecond
	modelRetries = 80
)

func (m *model) choose(h *modelHost, r *modelRequest, tried dispatch.Tried, tries int) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	choice, err := h.router.Choose(noAfter{ctx}, r.req, tried)
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
	if m.counted {
		m.result.sentAway++
	}
	m.after(delay, func() {
		there, err := remote.router.Choose(noAfter{ctx}, &request, dispatch.Tried{Targets: map[string]bool{}, DataCentres: map[string]bool{}})
		if err != nil {
			m.after(delay, func() {
				tried.DataCentres[choice.Host.DataCentre] = true
				m.choose(h, r, tried, tries)
			})
			return
		}
		m.attemptThen(remote, &forwarded, there.Target, func() {
			m.after(delay, func() {
				h.router.mu.Lock()
				h.router.finish(m.now, r.req.ID, false)
				h.router.mu.Unlock()
				m.record(r)
			})
		})
	})
}

// noAfter is a context without cancellation; the model ends forwards itself.
type noAfter struct{ context.Context }

func (noAfter) Done() <-chan struct{} { return nil }

func (m *model) retry(h *modelHost, r *modelRequest, err error, tries int) {
	if _, ok := err.(*refusal.Error); !ok || tries >= modelRetries {
		delete(m.open, r)
		if m.counted {
			m.result.refused++
		}
		return
	}
	m.after(modelRetry, func() {
		m.choose(h, r, dispatch.Tried{Targets: map[string]bool{}, DataCentres: map[string]bool{}}, tries+1)
	})
}

func (m *model) attempt(h *modelHost, r *modelRequest, t *targets.Target, _ int) {
	m.attemptThen(h, r, t, func() { m.record(r) })
}

func (m *model) attemptThen(h *modelHost, r *modelRequest, t *targets.Target, then func()) {
	e := m.engines[slices.IndexFunc(m.engines, func(e *modelEngine) bool { return e.name == t.Name })]
	begun := m.now
	h.router.AttemptBegins(r.req, t)
	r.done = func(r *modelRequest, first time.Duration) {
		h.router.AttemptEnded(dispatch.Outcome{Request: r.req, Target: e.name, Incarnation: t.Incarnation, Sent: true,
			Complete: true, Status: 200, FirstByte: r.started.Add(first).Sub(begun), Duration: m.now.Sub(begun)})
		then()
	}
	e.take(r)
}

// record takes the latency of a request; those still open at the end of the
// run are recorded with their age.
func (m *model) record(r *modelRequest) {
	delete(m.open, r)
	if r.arrived.Before(m.result.start) || !m.counted {
		return
	}
	d := m.now.Sub(r.arrived)
	m.result.requests++
	m.result.latencies = append(m.result.latencies, d)
	m.result.workspaces[r.workspace] = append(m.result.workspaces[r.workspace], d)
	second := int(r.arrived.Sub(m.result.start) / time.Second)
	m.result.series[second] = append(m.result.series[second], d)
}

func quantile(d []time.Duration, q float64) time.Duration {
	if len(d) == 0 {
		return 0
	}
	sorted := slices.Clone(d)
	slices.Sort(sorted)
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
