package doctransfer

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

const (
	// configurationLimit is the time within which a change has to be in force.
	configurationLimit = 4 * time.Second
	ms                 = time.Millisecond
)

type event struct {
	at  time.Duration
	run func()
}

// node is a host with a link of bytesPerMS in each direction, which carries one message
// after the other.
type node struct {
	Host
	control         bool
	bytesPerMS      float64
	outFree, inFree time.Duration
	store           *Source
	fetcher         *Fetcher
	version         uint64 // in force
	versionAt       time.Duration
	down, frozen    bool
	silentAt        time.Duration // when exchanges have shown that the host is frozen
	process         int
	told            map[*node]uint64 // versions of the control hosts
	fetching        bool
}

// fleet plays a schedule on six data centres of three regions, with one control host and 23
// or 24 entry hosts each.
type fleet struct {
	now     time.Duration
	queue   []event
	nodes   []*node // the control hosts first
	routes  []string
	content []byte
	version uint64
	forms   map[formKey][]byte
	// whole is the rule of before: each exchange carries the content while the versions
	// differ.
	whole bool
	// bytes are those of contents, by region of the sender and of the receiver.
	bytes map[[2]string]int
}

func newFleet(whole bool) *fleet {
	f := &fleet{forms: map[formKey][]byte{}, whole: whole, bytes: map[[2]string]int{}}
	random := rand.New(rand.NewPCG(1, 1))
	for range 1400 {
		f.routes = append(f.routes, fmt.Sprintf(`{"name":"r-%08x","host":"%08x.example","prefix":"/","kind":"idempotent","timeout_ms":8000,"weight":%d,"description":"%s"}`,
			random.Uint32(), random.Uint32(), random.IntN(100), strings.Repeat("idle ", 50)))
	}
	for i := range 148 {
		dc := i % 6
		n := &node{Host: Host{Address: fmt.Sprint("host", i), DataCentre: fmt.Sprint("dc", dc), Region: fmt.Sprint("r", dc%3)}, control: i < 6, bytesPerMS: 7e6 / 8 / 1000, told: map[*node]uint64{}}
		n.store = f.newStore(2)
		if n.control {
			n.bytesPerMS, n.store = 1e9/8/1000, f.newStore(16)
		}
		n.fetcher = NewFetcher(n.Host, n.store)
		f.nodes = append(f.nodes, n)
	}
	f.change()
	for _, n := range f.nodes {
		n.version = f.version
		n.store.Add(f.version, f.content)
		for _, c := range f.nodes[:6] {
			f.after(time.Duration(random.IntN(400))*ms, func() { f.exchange(n, c, n.process) })
		}
	}
	return f
}

// newStore returns a source whose forms are made once for the whole fleet.
func (f *fleet) newStore(transfers int) *Source {
	s := NewSource(transfers, 4<<20)
	s.encode = func(base, content []byte) (_ []byte, err error) {
		key := formKey{DigestOf(base), DigestOf(content)}
		if f.forms[key] == nil {
			f.forms[key], err = encode(base, content)
		}
		return f.forms[key], err
	}
	return s
}

func (f *fleet) after(d time.Duration, run func()) {
	i, _ := slices.BinarySearchFunc(f.queue, f.now+d+1, func(e event, at time.Duration) int { return int(e.at - at) })
	f.queue = slices.Insert(f.queue, i, event{f.now + d, run})
}

func (f *fleet) runUntil(end time.Duration) {
	for len(f.queue) > 0 && f.queue[0].at <= end {
		e := f.queue[0]
		f.queue = f.queue[1:]
		f.now = e.at
		e.run()
	}
	f.now = end
}

// change makes a new version. Control hosts of other regions have it later.
func (f *fleet) change() {
	f.version++
	f.routes[int(f.version)*37%len(f.routes)] = fmt.Sprintf(`{"name":"changed-%d"}`, f.version)
	f.content = fmt.Appendf(nil, `{"version":%d,"routes":[%s]}`, f.version, strings.Join(f.routes, ","))
	version, content := f.version, f.content
	for i, c := range f.nodes[:6] {
		f.after(time.Duration(i%3)*55*ms, func() { c.store.Add(version, content) })
	}
}

func latency(a, b *node) time.Duration {
	if a.Region != b.Region {
		return 55 * ms
	}
	return ms
}

// send returns when a message has arrived; what has not by the limit is cut off.
func (f *fleet) send(from, to *node, bytes int, limit time.Duration) (arrived time.Duration, ok bool) {
	start := max(f.now, from.outFree)
	sent := start + time.Duration(float64(bytes)/from.bytesPerMS*float64(ms))
	arrived = max(sent, max(start, to.inFree)+time.Duration(float64(bytes)/to.bytesPerMS*float64(ms))) + latency(from, to)
	if arrived > limit {
		bytes = int(float64(bytes) * float64(max(0, limit-start)) / float64(arrived-start))
	}
	from.outFree, to.inFree = max(from.outFree, min(sent, limit)), max(to.inFree, min(arrived, limit))
	f.bytes[[2]string{from.Region, to.Region}] += bytes
	return arrived, arrived <= limit
}

// exchange plays the exchanges of an entry host with a control host.
func (f *fleet) exchange(n, c *node, process int) {
	if n.process != process || n.control {
		return
	}
	timeout, interval := 700*ms, 400*ms // two control hosts a region
	if n.version == 0 {
		timeout, interval = 300*ms, 100*ms
	} else if c.Region != n.Region {
		interval = time.Second
	}
	if c.frozen {
		f.after(timeout+time.Second, func() { f.exchange(n, c, process) })
		return
	}
	limit := f.now + timeout
	f.after(latency(n, c), func() {
		version, digest := c.store.Newest()
		target := Target{version, digest, len(c.store.Content(digest))}
		var carried []byte
		var base Digest
		_, have := n.store.Newest()
		if f.whole && version != n.version {
			carried = c.store.Content(digest)
		} else if !f.whole && version > n.version && c.Region == n.Region && n.fetcher.Current() == 0 {
			carried, base, _ = c.store.Small(have, digest, 8<<10)
		}
		arrived, ok := f.send(c, n, len(carried), limit)
		if !ok {
			f.after(limit-f.now, func() { f.exchange(n, c, process) })
			return
		}
		f.after(arrived-f.now, func() {
			if n.process != process {
				return
			}
			f.after(interval, func() { f.exchange(n, c, process) })
			n.told[c] = version
			if carried == nil {
				n.fetcher.Confirm(target)
				f.fetch(n)
				return
			}
			if !f.whole {
				if _, err := n.fetcher.Accept(target, base, carried); err != nil {
					panic(err)
				}
			}
			n.use(f.now, version)
		})
	})
}

func (n *node) use(now time.Duration, version uint64) {
	if version > n.version {
		n.version, n.versionAt = version, now
	}
}

// fetch plays the calls of a host until it has nothing to fetch.
func (f *fleet) fetch(n *node) {
	if n.fetching || n.down || n.frozen {
		return
	}
	process := n.process
	var candidates []Candidate
	for _, c := range f.nodes {
		if c != n && (c.control || c.Region == n.Region) {
			candidates = append(candidates, Candidate{Address: c.Address, DataCentre: c.DataCentre, Region: c.Region, Control: c.control, Version: n.told[c],
				Silent: c.control && c.frozen && f.now > c.silentAt})
		}
	}
	call, wait := n.fetcher.Next(f.now, candidates)
	if call == nil {
		if wait > 0 {
			f.after(wait, func() {
				if n.process == process {
					f.fetch(n)
				}
			})
		}
		return
	}
	n.fetching = true
	limit := f.now + call.Timeout
	end := func(at time.Duration, r Response, err error) {
		f.after(at-f.now, func() {
			if n.process != process {
				return
			}
			n.fetching = false
			t, err := n.fetcher.Result(f.now, call, candidates, r, err)
			if err != nil {
				panic(err)
			}
			if t != nil {
				n.use(f.now, t.Version)
			}
			f.fetch(n)
		})
	}
	source := f.nodes[slices.IndexFunc(f.nodes, func(c *node) bool { return c.Address == call.Address })]
	f.after(latency(n, source), func() {
		if source.down || source.frozen {
			end(limit, Response{}, errors.New("no response"))
			return
		}
		r := source.store.Fetch(f.now, call.Request)
		if arrived, ok := f.send(source, n, len(r.Part), limit); ok {
			end(arrived, r, nil)
		} else {
			end(limit, Response{}, errors.New("too slow"))
		}
	})
}

// restart ends every second entry host of each data centre; they start again empty.
func (f *fleet) restart() {
	for i, n := range f.nodes[6:] {
		if i/6%2 == 1 {
			n.process++
			n.down, n.version, n.fetching = true, 0, false
			n.store = f.newStore(2)
			n.fetcher = NewFetcher(n.Host, n.store)
			f.after(500*ms, func() {
				n.down = false
				for _, c := range f.nodes[:6] {
					f.exchange(n, c, n.process)
				}
			})
		}
	}
}

func (f *fleet) freeze(nodes ...*node) {
	for _, n := range nodes {
		n.frozen, n.silentAt = true, f.now+time.Second
	}
}

// play makes a change every 0.3 s for 6 s, while half of the hosts restart, and returns the
// time from the last change until all hosts have it, and the most bytes of contents that a
// region got from others.
func (f *fleet) play(fault func(f *fleet)) (current time.Duration, crossRegion int) {
	const last = 7 * time.Second
	for at := time.Second; at <= last; at += 300 * ms {
		f.after(at, f.change)
	}
	f.after(3*time.Second, f.restart)
	if fault != nil {
		f.after(3520*ms, func() { fault(f) }) // the transfers to the restarted hosts have begun
	}
	f.runUntil(last + 2*configurationLimit)
	for _, n := range f.nodes[6:] {
		if n.version != f.version {
			n.versionAt = f.now
		}
		if !n.frozen {
			current = max(current, n.versionAt-last)
		}
	}
	for _, to := range []string{"r0", "r1", "r2"} {
		into := 0
		for pair, bytes := range f.bytes {
			if pair[0] != to && pair[1] == to {
				into += bytes
			}
		}
		crossRegion = max(crossRegion, into)
	}
	return current, crossRegion
}

// copiesBound is what a region may get from others: two compressed copies of each version
// for each of its data centres.
func (f *fleet) copiesBound() int {
	form, _ := f.nodes[0].store.encode(nil, f.content)
	return 4 * int(f.version) * len(form)
}

// Answers: 142 hosts with 7 Mbit/s, a document of 1,400 routes that changes every 0.3 s,
// half of the hosts restart at one moment.
func TestChangesWhileHalfOfTheHostsRestart(t *testing.T) {
	for name, fault := range map[string]func(*fleet){
		"no fault": nil,
		"sources freeze in the middle": func(f *fleet) {
			f.freeze(f.nodes[0])
			for i := 6; i < len(f.nodes); i += 24 { // every fourth host of its data centre
				f.freeze(f.nodes[i])
			}
		},
		"control hosts of a region freeze": func(f *fleet) { f.freeze(f.nodes[0], f.nodes[3]) },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(false)
			current, crossRegion := f.play(fault)
			t.Logf("document of %d bytes: all current %s after the last change; a region got %d bytes from others; %v", len(f.content), current, crossRegion, f.bytes)
			if bound := f.copiesBound(); current > configurationLimit || crossRegion > bound {
				t.Errorf("all current %s after the last change, want %s; a region got %d bytes from others, want %d at most", current, configurationLimit, crossRegion, bound)
			}
		})
	}
	f := newFleet(true)
	current, crossRegion := f.play(nil)
	t.Logf("whole document in each exchange: all current after %s; a region got %d bytes from others; %v", current, crossRegion, f.bytes)
	if current <= configurationLimit || crossRegion <= f.copiesBound() {
		t.Error("the rule of before keeps the bounds, so the schedule is no load")
	}
}

// Answers: the control hosts hand out nothing after they have confirmed a version, of which
// each region has one copy.
func TestPeersHandOnWithoutControlHosts(t *testing.T) {
	f := newFleet(false)
	f.runUntil(2 * time.Second)
	f.routes = f.routes[:700]
	for i := range f.routes { // a change that is too large for an exchange
		f.routes[i] = fmt.Sprintf("%x", DigestOf([]byte(f.routes[i])))
	}
	f.change()
	for i, n := range f.nodes {
		if i < 6 {
			n.store.maxTransfers = 0
		} else if i < 9 {
			n.store.Add(f.version, f.content)
			n.use(f.now, f.version)
		}
	}
	f.runUntil(2*time.Second + configurationLimit)
	for _, n := range f.nodes[9:] {
		if n.fetcher.newest.Version != f.version || n.version != f.version {
			t.Errorf("%s has version %d of %d, confirmed %d", n.Address, n.version, f.version, n.fetcher.newest.Version)
		}
	}
	for pair, bytes := range f.bytes {
		if pair[0] != pair[1] && bytes > 0 {
			t.Errorf("%d bytes from region %s to %s", bytes, pair[0], pair[1])
		}
	}
}
