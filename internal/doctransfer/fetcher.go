package doctransfer

import (
	"cmp"
	"errors"
	"slices"
	"strconv"
	"sync"
	"time"

	"geraniumturn.example/geraniumturn/internal/rendezvous"
)

const (
	// firstPartBytes is the size of the first part that is asked for, minPartBytes that
	// after failures. A part that took less than fastPart doubles it, one that took longer
	// than slowPart halves it.
	firstPartBytes = 16 << 10
	minPartBytes   = 4 << 10
	fastPart       = 100 * time.Millisecond
	slowPart       = 300 * time.Millisecond
	// regionPartTimeout is the least time that a part from the own region may take,
	// outsidePartTimeout that from another one, maxPartTimeout the most. Between them it is
	// partTimeoutFactor times the time expected by the rate of the part before.
	regionPartTimeout  = 400 * time.Millisecond
	outsidePartTimeout = 600 * time.Millisecond
	maxPartTimeout     = 2 * time.Second
	partTimeoutFactor  = 4
	// stalledTime is the time without progress after which a transfer gives way to a newer
	// version.
	stalledTime = 600 * time.Millisecond
	// usualSourceWait is how long a source that responds is waited for before one that failed is
	// tried again.
	usualSourceWait = 300 * time.Millisecond
	// failureDelay is the time for which a source that failed is not asked, times the
	// failures in a row, up to maxFailureDelay.
	failureDelay    = 500 * time.Millisecond
	maxFailureDelay = 4 * time.Second
	// corruptDelay is that for the sources of bytes that were not what was confirmed.
	corruptDelay = 10 * time.Second
	// absentDelay is the time after which a source that lacked the content is asked again. It
	// doubles each time up to maxAbsentDelay.
	absentDelay    = 100 * time.Millisecond
	maxAbsentDelay = 2 * time.Second
	// firstFetchers is the number of hosts of a data centre that may take a version from outside at
	// once. Of the others, as many at a time may after each further regionStep (from the
	// region) or outsideStep (from another region), but not before a control host of the
	// region has had followDelay to get it.
	firstFetchers = 2
	regionStep    = 100 * time.Millisecond
	outsideStep   = 200 * time.Millisecond
	followDelay   = 200 * time.Millisecond
	// maxOutsideDelay is the time after which any source may be asked, and any host of the
	// region whether it has the content.
	maxOutsideDelay = 1200 * time.Millisecond
	// nearDelay keeps a host from going further away while a nearer source is busy with
	// the content, up to maxNearDelay, or is itself fetching it, up to maxArrivingDelay.
	nearDelay        = 300 * time.Millisecond
	maxNearDelay     = 2 * time.Second
	maxArrivingDelay = 500 * time.Millisecond
	// pollInterval is the longest time between looks for another source.
	pollInterval = 200 * time.Millisecond
	// formReserveBytes is how much longer than its content a form may be.
	formReserveBytes = 64 << 10
)

// Distances of a source.
const (
	sameDataCentre = iota
	sameRegion
	otherRegion
	distances
)

// Host is the host that fetches.
type Host struct {
	// Address is its peer address.
	Address    string
	DataCentre string
	Region     string
}

// Candidate is a host that may be a source.
type Candidate struct {
	// Address is its peer address.
	Address    string
	DataCentre string
	Region     string
	// Control is true for a control host.
	Control bool
	// Version is the newest version that a control host has told; 0 if it is unknown.
	Version uint64
	// Silent means that it did not respond to its last call.
	Silent bool
}

// Target is a version that a control host has confirmed.
type Target struct {
	Version uint64
	Digest  Digest
	Length  int
}

// Call is a request to a source.
type Call struct {
	Address string
	Request Request
	Timeout time.Duration
	sentAt  time.Duration
}

// Transfer describes a transfer that has ended.
type Transfer struct {
	Target
	Content []byte
	// Delta means that the content came as a delta to an earlier one.
	Delta bool
	// Bytes is the number of bytes received, Parts that of parts.
	Bytes, Parts int
	// Busy, Absent and Failed count the calls without a part: the source was busy, had not
	// the content, or failed. Resumed counts how often another source continued.
	Busy, Absent, Failed, Resumed int
	// From is the source of the last part.
	From string
	Took time.Duration
}

// transfer is the one in progress.
type transfer struct {
	Transfer
	base       Digest
	baseData   []byte
	encoding   uint64
	received   []byte
	total      int
	startedAt  time.Duration
	progressAt time.Duration
	// nearBusyAt is when a source at a distance last said that it has the content,
	// arrivingAt when one said that it is fetching it.
	nearBusyAt, arrivingAt [distances]time.Duration
	senders                map[string]bool
	// holders have the content by what other sources say; absent counts how often a source
	// lacked it.
	holders map[string]bool
	absent  map[string]int
}

type sourceState struct {
	notBefore time.Duration
	failures  int
	// corrupt means that its bytes were not what was confirmed.
	corrupt bool
}

// Fetcher decides from where a host gets the newest content. It is safe for concurrent
// use; one call is to be made at a time.
type Fetcher struct {
	self  Host
	store *Source

	mu      sync.Mutex
	newest  Target
	current *transfer
	sources map[string]*sourceState
	// partBytes is the size of the next part, rate the bytes per millisecond of the last one.
	partBytes int
	rate      float64
}

// NewFetcher returns a fetcher that adds what it has got to the store of its host.
func NewFetcher(self Host, store *Source) *Fetcher {
	return &Fetcher{self: self, store: store, sources: map[string]*sourceState{}, partBytes: firstPartBytes}
}

// Confirm records what a control host has confirmed and reports whether it is new.
func (f *Fetcher) Confirm(t Target) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if t.Version <= f.newest.Version || t.Digest == (Digest{}) || t.Length <= 0 || t.Length > MaxContentBytes {
		return false
	}
	f.newest = t
	for _, s := range f.sources {
		if s.corrupt { // that was another content
			*s = sourceState{}
		}
	}
	return true
}

// Current returns the version that is being fetched, or 0.
func (f *Fetcher) Current() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current == nil {
		return 0
	}
	return f.current.Version
}

// Next returns the call to make now, or nil and the time after which to ask again. A zero
// time means that nothing is to be fetched before the next confirmation.
func (f *Fetcher) Next(now time.Duration, candidates []Candidate) (*Call, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.choose(now) {
		return nil, 0
	}
	t := f.current
	best, wait := f.source(now, candidates)
	if best == nil {
		return nil, wait
	}
	if t.From != "" && t.From != best.Address && len(t.received) > 0 {
		t.Resumed++
	}
	t.From = best.Address
	c := &Call{Address: best.Address, sentAt: now, Timeout: f.timeout(best), Request: Request{Caller: f.self.Address, Wanted: t.Digest, Base: t.base,
		Encoding: t.encoding, Offset: len(t.received), Limit: f.partBytes}}
	return c, 0
}

// choose sets the version to fetch and reports whether there is one. A transfer that has
// begun goes on when a newer version is confirmed, because the newer one then is a small
// delta; it ends if no source has its version any more.
func (f *Fetcher) choose(now time.Duration) bool {
	have, digest := f.store.Newest()
	since := now
	if t := f.current; t != nil && (t.Version <= have || t.Version < f.newest.Version && (len(t.received) == 0 || now-t.progressAt > stalledTime)) {
		if t.Version > have {
			since = t.startedAt // the search goes on
		}
		f.current = nil
	}
	if f.current == nil && f.newest.Version > have {
		f.begin(now, digest)
		f.current.startedAt = since
	}
	if f.current == nil {
		f.store.await(Digest{})
		return false
	}
	f.store.await(f.current.Digest)
	return true
}

// begin begins a transfer of the newest version; base is what this host has.
func (f *Fetcher) begin(now time.Duration, base Digest) {
	for address, s := range f.sources {
		if s.notBefore+maxFailureDelay < now {
			delete(f.sources, address)
		}
	}
	f.current = &transfer{Transfer: Transfer{Target: f.newest}, startedAt: now, progressAt: now,
		senders: map[string]bool{}, holders: map[string]bool{}, absent: map[string]int{}}
	if data := f.store.Content(base); data != nil {
		f.current.base, f.current.baseData = base, data
	}
}

// timeout returns the time that the next part may take. A source that failed gets more.
func (f *Fetcher) timeout(c *Candidate) time.Duration {
	out := regionPartTimeout
	if f.distance(c) == otherRegion {
		out = outsidePartTimeout
	}
	if f.rate > 0 {
		part := f.partBytes
		if t := f.current; t.total > 0 {
			part = min(part, t.total-len(t.received))
		}
		out = max(out, time.Duration(float64(part)/f.rate*partTimeoutFactor)*time.Millisecond)
	}
	if s := f.sources[c.Address]; s != nil {
		out *= time.Duration(1 + s.failures)
	}
	return min(out, maxPartTimeout)
}

// source returns the source to ask, or nil and the time after which there may be one.
func (f *Fetcher) source(now time.Duration, candidates []Candidate) (*Candidate, time.Duration) {
	t := f.current
	ranks, controlNear := f.rank(candidates)
	own := ranks[f.self.Address]
	wait, usualWait := pollInterval, maxPartTimeout
	late := now-t.startedAt >= maxOutsideDelay
	var best *Candidate
	var bestKey preference
	for i := range candidates {
		c := &candidates[i]
		distance := f.distance(c)
		holds := c.Version >= t.Version || t.holders[c.Address]
		rank, near := ranks[c.Address]
		// A host that has not said that it has the content may be the one that fetches first.
		if c.Address == f.self.Address || !c.Control && !holds && (!near || rank >= firstFetchers || rank > own) && (distance == otherRegion || !late) {
			continue
		}
		from := t.startedAt + f.delay(now, distance, own, controlNear)
		failed := c.Silent
		if s := f.sources[c.Address]; s != nil {
			from = max(from, s.notBefore)
			failed = failed || s.failures > 0
		}
		key := preference{distance: distance, weight: rendezvous.Weight(f.self.Address, c.Address)}
		switch {
		case c.Address == t.From && len(t.received) > 0 && !failed:
			key.tier = tierCurrent
		case failed:
			key.tier = tierFailed
		case !holds && t.absent[c.Address] > 0:
			key.tier = tierAbsent
		case holds && c.Control:
			key.kind = 0
		case holds:
			key.kind = 1
		case c.Control:
			key.kind = 2
		default:
			key.kind = 3
		}
		if from > now {
			wait = min(wait, from-now)
			if key.tier <= tierUsual {
				usualWait = min(usualWait, from-now)
			}
			continue
		}
		if best == nil || key.before(bestKey) {
			best, bestKey = c, key
		}
	}
	if best != nil && bestKey.tier == tierFailed && usualWait <= usualSourceWait {
		return nil, max(usualWait, time.Millisecond)
	}
	return best, max(wait, time.Millisecond)
}

// Tiers of sources, the first to be preferred.
const (
	// tierCurrent is the source of the parts before.
	tierCurrent = iota - 1
	tierUsual
	// tierAbsent lacked the content, tierFailed did not respond.
	tierAbsent
	tierFailed
)

// preference orders sources: by tier, distance, whether they have the content, and for the
// rest evenly over the hosts that fetch.
type preference struct {
	tier, distance, kind int
	weight               uint64
}

func (p preference) before(q preference) bool {
	return cmp.Or(cmp.Compare(p.tier, q.tier), cmp.Compare(p.distance, q.distance), cmp.Compare(p.kind, q.kind), cmp.Compare(q.weight, p.weight)) < 0
}

// rank returns the order of the entry hosts of this data centre for the version, and whether
// a control host of the region responds.
func (f *Fetcher) rank(candidates []Candidate) (ranks map[string]int, controlNear bool) {
	addresses := []string{f.self.Address}
	for i := range candidates {
		c := &candidates[i]
		distance := f.distance(c)
		if distance == sameDataCentre && !c.Control {
			addresses = append(addresses, c.Address)
		}
		controlNear = controlNear || c.Control && !c.Silent && distance <= sameRegion
	}
	version := strconv.FormatUint(f.current.Version, 10)
	slices.SortFunc(addresses, func(a, b string) int {
		return cmp.Compare(rendezvous.Weight(version, b), rendezvous.Weight(version, a))
	})
	ranks = make(map[string]int, len(addresses))
	for i, a := range addresses {
		ranks[a] = i
	}
	return ranks, controlNear
}

func (f *Fetcher) distance(c *Candidate) int {
	switch {
	case c.DataCentre != "" && c.DataCentre == f.self.DataCentre:
		return sameDataCentre
	case c.Region == f.self.Region:
		return sameRegion
	}
	return otherRegion
}

// delay returns the time after the start of the transfer from which sources at a distance
// may be asked.
func (f *Fetcher) delay(now time.Duration, distance, rank int, controlNear bool) time.Duration {
	t := f.current
	turn := time.Duration(rank / firstFetchers)
	var out time.Duration
	switch distance {
	case sameDataCentre:
		return 0
	case sameRegion:
		out = turn * regionStep
	default:
		out = turn * outsideStep
		if controlNear {
			out += followDelay
		}
	}
	out = min(out, maxOutsideDelay)
	for nearer := range distance {
		if busy := t.nearBusyAt[nearer]; busy > 0 && now-busy < nearDelay {
			out = max(out, min(busy+nearDelay-t.startedAt, maxNearDelay))
		}
		if arriving := t.arrivingAt[nearer]; arriving > 0 && now-arriving < nearDelay {
			out = max(out, min(arriving+nearDelay-t.startedAt, maxArrivingDelay))
		}
	}
	return out
}

// Result records the outcome of a call. It returns the transfer if it is complete, and an
// error if the bytes received are not the content that was confirmed.
func (f *Fetcher) Result(now time.Duration, c *Call, candidates []Candidate, r Response, callErr error) (*Transfer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.sources[c.Address]
	if s == nil {
		s = &sourceState{}
		f.sources[c.Address] = s
	}
	if callErr != nil {
		s.failures++
		s.notBefore = now + min(failureDelay*time.Duration(s.failures), maxFailureDelay)
		f.partBytes = max(minPartBytes, f.partBytes/2)
		if t := f.current; t != nil {
			t.Failed++
		}
		return nil, nil
	}
	s.failures = 0
	t := f.current
	if t == nil || t.Digest != c.Request.Wanted {
		return nil, nil
	}
	if len(r.Part) == 0 {
		f.recordRefusal(now, c, s, candidates, r)
		return nil, nil
	}
	if err := f.add(now, c, r); err != nil || len(t.received) < t.total {
		if err != nil {
			f.block(now, c.Address)
		}
		return nil, err
	}
	return f.finish(now)
}

// recordRefusal records a response without a part.
func (f *Fetcher) recordRefusal(now time.Duration, c *Call, s *sourceState, candidates []Candidate, r Response) {
	t := f.current
	for _, h := range r.Holders {
		t.holders[h] = true
	}
	if r.RetryAfter > 0 {
		if i := slices.IndexFunc(candidates, func(k Candidate) bool { return k.Address == c.Address }); i >= 0 {
			at := &t.arrivingAt
			if r.Found {
				at = &t.nearBusyAt
			}
			at[f.distance(&candidates[i])] = now
		}
	}
	if r.Found {
		t.Busy++
	} else {
		t.Absent++
		delete(t.holders, c.Address)
	}
	// Hosts that all wait for each other must not keep each other from other sources.
	if r.RetryAfter > 0 && (r.Found || now-t.startedAt < maxOutsideDelay) {
		s.notBefore = now + min(max(r.RetryAfter, time.Millisecond), maxBusyTime)
		return
	}
	s.notBefore = now + min(absentDelay<<min(t.absent[c.Address], 8), maxAbsentDelay)
	t.absent[c.Address]++
}

// add appends a part.
func (f *Fetcher) add(now time.Duration, c *Call, r Response) error {
	t := f.current
	switch {
	case r.Total <= 0 || r.Total > t.Length+formReserveBytes || r.Base != (Digest{}) && r.Base != c.Request.Base || r.Offset+len(r.Part) > r.Total:
		return errors.Join(ErrCorrupt, errors.New("impossible part"))
	case r.Encoding == t.encoding && r.Offset == len(t.received) && r.Total == t.total:
	case r.Offset == 0: // the first part, or another form
		t.received, t.encoding, t.total, t.Delta = make([]byte, 0, min(r.Total, MaxPartBytes)), r.Encoding, r.Total, r.Base != (Digest{})
	default:
		t.received, t.encoding, t.total = nil, 0, 0
		return errors.Join(ErrCorrupt, errors.New("part at another offset"))
	}
	t.received = append(t.received, r.Part...)
	t.Bytes += len(r.Part)
	t.Parts++
	t.progressAt, t.senders[c.Address] = now, true
	took := max(now-c.sentAt, time.Millisecond)
	if len(r.Part) >= minPartBytes { // a smaller one shows the latency
		f.rate = float64(len(r.Part)) / float64(took.Milliseconds())
	}
	if took < fastPart && len(r.Part) == c.Request.Limit {
		f.partBytes = min(2*f.partBytes, MaxPartBytes)
	} else if took > slowPart {
		f.partBytes = max(minPartBytes, f.partBytes/2)
	}
	return nil
}

// block keeps a source from being asked for the time being, unless a newer version, which
// may be confirmed rightly, is to be fetched.
func (f *Fetcher) block(now time.Duration, address string) {
	f.sources[address] = &sourceState{corrupt: true}
	if f.current.Version == f.newest.Version {
		f.sources[address].notBefore = now + corruptDelay
	}
}

// finish checks the content of a complete transfer and adds it to the store.
func (f *Fetcher) finish(now time.Duration) (*Transfer, error) {
	t := f.current
	var base []byte
	if t.Delta {
		base = t.baseData
	}
	content, err := decode(base, t.received, t.Length, t.Digest)
	if err != nil {
		for address := range t.senders {
			f.block(now, address)
		}
		f.begin(now, Digest{}) // without a base, which may be what is wrong
		f.current.Failed = t.Failed + 1
		return nil, err
	}
	f.current = nil
	f.store.Add(t.Version, content)
	if !t.Delta {
		t.base = Digest{}
	}
	f.store.addForm(t.base, t.Digest, t.received)
	f.store.await(Digest{})
	t.Content, t.Took = content, now-t.startedAt
	return &t.Transfer, nil
}

// Accept decodes a small form that came with a confirmation and adds its content to the
// store. The base must be one that the store has, or none.
func (f *Fetcher) Accept(t Target, base Digest, encoded []byte) ([]byte, error) {
	var baseData []byte
	if base != (Digest{}) {
		if baseData = f.store.Content(base); baseData == nil {
			return nil, errors.Join(ErrCorrupt, errors.New("unknown base"))
		}
	}
	content, err := decode(baseData, encoded, t.Length, t.Digest)
	if err != nil {
		return nil, err
	}
	f.store.Add(t.Version, content)
	f.store.addForm(base, t.Digest, encoded)
	return content, nil
}
