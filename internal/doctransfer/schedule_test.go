package doctransfer

import (
	"container/heap"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

// configurationLimit is the time within which a change has to be in force.
const configurationLimit = 4 * time.Second

type event struct {
	at    time.Duration
	order int
	run   func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(v any)   { *e = append(*e, v.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// node is a host with a link of bytesPerMS in each direction, which carries one message
// after the other.
type node struct {
	Host
	control        bool
	bytesPerMS     float64
	upFree, inFree time.Duration
	store          *Source
	fetcher        *Fetcher
	version        uint64 // in force, or agreed on a control host
	versionAt      time.Duration
	reported       uint64 // what others know of version
	down, frozen   bool
	frozenAt       time.Duration
	process        int
	fetching       bool
	confirmed      uint64
}

// fleet plays a schedule: six data centres of three regions, with one control host each.
type fleet struct {
	now     time.Duration
	queue   events
	order   int
	nodes   []*node
	byName  map[string]*node
	routes  []string
	content []byte
	forms   map[formKey][]byte
	version uint64
	// whole is the rule of before: each exchange carries the content until the host has it.
	whole bool
	// cut means that control hosts hand out nothing.
	cut bool
	// bytes are those of contents, by region of the sender and of the receiver.
	bytes   map[[2]string]int
	resumed int
}

func newFleet(seed uint64, whole bool) *fleet {
	f := &fleet{byName: map[string]*node{}, forms: map[formKey][]byte{}, whole: whole, bytes: map[[2]string]int{}}
	random := rand.New(rand.NewPCG(seed, 1))
	for i := range 1400 {
		f.routes = append(f.routes, fmt.Sprintf(`{"name":"r-%08x","host":"%08x.example","prefix":"/api/v%d/","kind":"idempotent","timeout_ms":8000,"first_byte_ms":500,"max_gap_ms":1500,"priority":2,`+
			`"split":[{"service":"shop","weight":%d}],"max_attempts":2,"public":false,"resumable":false,"home_regions":["r0","r1"],"description":"%s"}`, random.Uint32(), random.Uint32(), i%7, random.IntN(100), strings.Repeat("idle ", 12)))
	}
	for i := range 148 {
		dc := i % 6
		n := &node{Host: Host{Address: fmt.Sprintf("10.%d.0.%d:1", dc, i), DataCentre: fmt.Sprint("dc", dc), Region: fmt.Sprint("r", dc%3)}, control: i < 6, bytesPerMS: 7e6 / 8 / 1000}
		transfers := 2
		if n.control {
			n.bytesPerMS, transfers = 1e9/8/1000, 16
		}
		n.store = f.newStore(transfers)
		n.fetcher = NewFetcher(n.Host, n.store)
		f.nodes, f.byName[n.Address] = append(f.nodes, n), n
	}
	f.change()
	for _, n := range f.nodes {
		n.version = f.version
		n.store.Add(f.version, f.content)
	}
	for _, n := range f.nodes[6:] {
		for _, c := range f.nodes[:6] {
			f.after(time.Duration(random.IntN(400))*time.Millisecond, func() { f.exchange(n, c, n.process) })
		}
	}
	f.report()
	return f
}

// newStore returns a source whose compressed forms are made once for the whole fleet.
func (f *fleet) newStore(transfers int) *Source {
	s := NewSource(transfers, 4<<20)
	s.encode = func(base, content []byte) ([]byte, error) {
		key := formKey{DigestOf(base), DigestOf(content)}
		if f.forms[key] == nil {
			encoded, err := encode(base, content)
			if err != nil {
				return nil, err
			}
			f.forms[key] = encoded
		}
		return f.forms[key], nil
	}
	return s
}

func (f *fleet) after(d time.Duration, run func()) {
	f.order++
	heap.Push(&f.queue, event{f.now + d, f.order, run})
}

func (f *fleet) runUntil(end time.Duration) {
	for len(f.queue) > 0 && f.queue[0].at <= end {
		e := heap.Pop(&f.queue).(event)
		f.now = e.at
		e.run()
	}
	f.now = end
}

// change makes a new version, which control hosts of other regions have one round later.
func (f *fleet) change() {
	f.version++
	f.routes[int(f.version)*37%len(f.routes)] = fmt.Sprintf(`{"name":"changed-%d"}`, f.version)
	f.content = fmt.Appendf(nil, `{"version":%d,"routes":[%s]}`, f.version, strings.Join(f.routes, ","))
	version, content := f.version, f.content
	for i, c := range f.nodes[:6] {
		f.after(time.Duration(i%3)*55*time.Millisecond, func() {
			c.version = version
			c.store.Add(version, content)
		})
	}
}

// report tells what the hosts had half a second before.
func (f *fleet) report() {
	for _, n := range f.nodes {
		version := n.version
		f.after(500*time.Millisecond, func() { n.reported = version })
	}
	f.after(250*time.Millisecond, f.report)
}

func latency(a, b *node) time.Duration {
	switch {
	case a.DataCentre == b.DataCentre:
		return 200 * time.Microsecond
	case a.Region == b.Region:
		return 1400 * time.Microsecond
	}
	return 55 * time.Millisecond
}

// send returns when a message has arrived; what is not sent by the limit is cut off.
func (f *fleet) send(from, to *node, bytes int, limit time.Duration) (arrived time.Duration, ok bool) {
	start := max(f.now, from.upFree)
	sent := start + time.Duration(float64(bytes)/from.bytesPerMS*float64(time.Millisecond))
	arrived = max(sent+latency(from, to), max(to.inFree, start)+time.Duration(float64(bytes)/to.bytesPerMS*float64(time.Millisecond)))
	counted := bytes
	if arrived > limit {
		counted = int(float64(bytes) * float64(max(0, limit-start)) / float64(arrived-start))
	}
	from.upFree, to.inFree = max(from.upFree, min(sent, limit)), max(to.inFree, min(arrived, limit))
	f.bytes[[2]string{from.Region, to.Region}] += counted
	return arrived, arrived <= limit
}

func (f *fleet) exchange(n, c *node, process int) {
	if n.process != process {
		return
	}
	timeout, interval := 700*time.Millisecond, 400*time.Millisecond // two control hosts a region
	if c.Region != n.Region {
		interval = time.Second
	}
	if n.version == 0 {
		timeout, interval = 300*time.Millisecond, 100*time.Millisecond
	}
	again := func(d time.Duration) { f.after(d, func() { f.exchange(n, c, process) }) }
	if c.frozen || c.down {
		again(timeout + time.Second)
		return
	}
	sentAt := f.now
	f.after(latency(n, c), func() {
		var carried []byte
		var base Digest
		target := Target{c.version, newestDigest(c.store), len(c.store.Content(newestDigest(c.store)))}
		switch {
		case f.whole && c.version != n.version:
			carried = c.store.Content(target.Digest)
		case c.version > n.version && c.Region == n.Region && n.fetcher.Current() == 0:
			carried, base, _ = c.store.Small(newestDigest(n.store), target.Digest, 8<<10)
		}
		arrived, ok := f.send(c, n, len(carried), sentAt+timeout)
		if !ok {
			again(sentAt + timeout - f.now + time.Millisecond)
			return
		}
		f.after(arrived-f.now, func() {
			if n.process != process {
				return
			}
			again(interval)
			if f.whole {
				f.inForce(n, target.Version)
				return
			}
			if carried != nil {
				if _, err := n.fetcher.Accept(target, base, carried); err != nil {
					panic(err)
				}
				f.inForce(n, target.Version)
				return
			}
			n.confirmed = max(n.confirmed, target.Version)
			n.fetcher.Confirm(target)
			f.fetch(n)
		})
	})
}

// newestDigest returns the digest of the newest content.
func newestDigest(s *Source) Digest {
	_, d := s.Newest()
	return d
}

func (f *fleet) inForce(n *node, version uint64) {
	if version > n.version {
		n.version, n.versionAt = version, f.now
	}
}

func (f *fleet) candidates(n *node) []Candidate {
	var out []Candidate
	for _, c := range f.nodes {
		if c != n && (c.control || c.Region == n.Region) {
			k := Candidate{Address: c.Address, DataCentre: c.DataCentre, Region: c.Region, Control: c.control, Version: c.reported}
			// The exchanges with a control host show that it does not respond.
			k.Silent = c.control && (f.cut || c.frozen && f.now-c.frozenAt > time.Second)
			out = append(out, k)
		}
	}
	return out
}

func (f *fleet) fetch(n *node) {
	process := n.process
	if n.fetching || n.down || n.frozen {
		return
	}
	candidates := f.candidates(n)
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
	end := func(r Response, err error) func() {
		return func() {
			if n.process != process {
				return
			}
			n.fetching = false
			t, err := n.fetcher.Result(f.now, call, candidates, r, err)
			if err != nil {
				panic(err)
			}
			if t != nil {
				f.resumed += t.Resumed
				f.inForce(n, t.Version)
			}
			f.fetch(n)
		}
	}
	source := f.byName[call.Address]
	limit := f.now + call.Timeout
	f.after(latency(n, source), func() {
		if source.down || source.frozen || source.control && f.cut {
			f.after(limit-f.now, end(Response{}, errors.New("no response")))
			return
		}
		r := source.store.Fetch(f.now, call.Request)
		arrived, ok := f.send(source, n, len(r.Part), limit)
		if !ok || source.frozen {
			f.after(limit-f.now, end(Response{}, errors.New("too slow")))
			return
		}
		f.after(arrived-f.now, end(r, nil))
	})
}

func (f *fleet) freeze(n *node) { n.frozen, n.frozenAt = true, f.now }

// restart ends the processes of every second entry host; they start again after a while.
func (f *fleet) restart(after time.Duration) {
	for i, n := range f.nodes[6:] {
		if i/6%2 == 0 {
			continue
		}
		n.process++
		n.down, n.version, n.reported = true, 0, 0
		f.after(after, func() {
			n.down, n.fetching = false, false
			n.store = f.newStore(2)
			n.fetcher = NewFetcher(n.Host, n.store)
			for _, c := range f.nodes[:6] {
				f.exchange(n, c, n.process)
			}
		})
	}
}

// play makes a change every 0.3 s for 6 s, while half of the hosts restart, and returns the
// time from the last change until all hosts have it, and the most bytes of contents that a
// region got from others.
func play(f *fleet, fault func(f *fleet)) (current time.Duration, crossRegion int) {
	const changes = 20
	for i := range changes {
		f.after(time.Second+time.Duration(i)*300*time.Millisecond, f.change)
	}
	f.after(3*time.Second, func() { f.restart(500 * time.Millisecond) })
	if fault != nil {
		f.after(3600*time.Millisecond, func() { fault(f) })
	}
	last := time.Second + (changes-1)*300*time.Millisecond
	f.runUntil(last + 10*time.Second)
	for _, n := range f.nodes[6:] {
		if n.frozen {
			continue
		}
		if n.version != f.version {
			n.versionAt = f.now
		}
		current = max(current, n.versionAt-last)
	}
	into := map[string]int{}
	for pair, bytes := range f.bytes {
		if pair[0] != pair[1] {
			into[pair[1]] += bytes
			crossRegion = max(crossRegion, into[pair[1]])
		}
	}
	return current, crossRegion
}

// copiesBound is what a region may get from others: two copies of each version for each of
// its two data centres, whole and compressed.
func copiesBound(f *fleet) int {
	whole, _, _ := f.nodes[0].store.Small(Digest{}, newestDigest(f.nodes[0].store), MaxContentBytes)
	return 4 * int(f.version) * len(whole)
}

// Answers: 142 hosts with 7 Mbit/s, a document of 1,400 routes that changes every 0.3 s,
// half of the hosts restart at one moment.
func TestChangesWhileHalfOfTheHostsRestart(t *testing.T) {
	for name, fault := range map[string]func(*fleet){
		"no fault": nil,
		// A control host, and the hosts that fetch first in its data centre, stop in the
		// middle of transfers.
		"sources freeze": func(f *fleet) {
			f.freeze(f.nodes[0])
			for i, n := range f.nodes[6:] {
				if n.DataCentre == "dc0" && i%4 == 0 {
					f.freeze(n)
				}
			}
		},
		"control hosts of a region freeze": func(f *fleet) { f.freeze(f.nodes[0]); f.freeze(f.nodes[3]) },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(1, false)
			current, crossRegion := play(f, fault)
			t.Logf("document of %d bytes: all current %s after the last change; a region got %d bytes from others; %d transfers resumed; %v", len(f.content), current, crossRegion, f.resumed, f.bytes)
			if current > configurationLimit {
				t.Errorf("all hosts are current %s after the last change", current)
			}
			if bound := copiesBound(f); crossRegion > bound {
				t.Errorf("a region got %d bytes from others, at most %d expected", crossRegion, bound)
			}
		})
	}
	// The rule of before has to miss the bounds, or the schedule is no load.
	f := newFleet(1, true)
	current, crossRegion := play(f, nil)
	t.Logf("whole document in each exchange: all current after %s; a region got %d bytes from others; %v", current, crossRegion, f.bytes)
	if crossRegion < 10*copiesBound(f) {
		t.Errorf("without transfers a region got only %d bytes from others", crossRegion)
	}
}

// Answers: the control hosts are cut off after they have confirmed a version, of which each
// region has few copies.
func TestPeersHandOnWithoutControlHosts(t *testing.T) {
	f := newFleet(2, false)
	f.runUntil(2 * time.Second)
	f.cut = true
	f.routes = f.routes[:700] // a change that is too large for an exchange
	for i := range f.routes {
		f.routes[i] = fmt.Sprintf("%q", DigestOf([]byte(f.routes[i])))
	}
	f.change()
	for _, n := range f.nodes[6:] { // one host of each region has got it
		if i := strings.Index("r0r1r2", n.Region); i >= 0 && f.byName["got"+n.Region] == nil {
			f.byName["got"+n.Region] = n
			n.store.Add(f.version, f.content)
			n.version, n.reported = f.version, f.version
		}
	}
	f.runUntil(2*time.Second + configurationLimit)
	confirmed := 0
	for _, n := range f.nodes[6:] {
		if n.confirmed == f.version {
			confirmed++
			if n.version != f.version {
				t.Errorf("%s has version %d of %d", n.Address, n.version, f.version)
			}
		}
	}
	if confirmed < 130 {
		t.Errorf("the version was confirmed to %d hosts", confirmed)
	}
	for pair, bytes := range f.bytes {
		if pair[0] != pair[1] && bytes > 0 {
			t.Errorf("%d bytes from region %s to %s", bytes, pair[0], pair[1])
		}
	}
}
