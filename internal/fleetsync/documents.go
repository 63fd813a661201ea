package fleetsync

import (
	"context"
	"sync"
	"time"

	"geraniumturn.example/geraniumturn/internal/clock"
	"geraniumturn.example/geraniumturn/internal/doctransfer"
	"geraniumturn.example/geraniumturn/internal/document"
	"geraniumturn.example/geraniumturn/internal/fleetsync/syncpb"
	"geraniumturn.example/geraniumturn/internal/recovery"
)

const (
	// controlTransfers and controlContentBytes bound what a control host hands out at once
	// and the earlier contents that it keeps as bases of deltas.
	controlTransfers    = 16
	controlContentBytes = 16 << 20
	// entryTransfers and entryContentBytes are those of an entry host, which has little
	// memory and a slow link.
	entryTransfers    = 2
	entryContentBytes = 4 << 20
	// maxFormBytes is the longest form that a control host of the same region sends with a
	// confirmation. It saves the round trip of a fetch, but several control hosts may send
	// the same.
	maxFormBytes = 8 << 10
	// documentIdleTime is the longest time between looks for something to fetch.
	documentIdleTime = time.Second
)

// addContent adds to a response the content of a version that is newer than that of the
// host, or what the host needs to fetch it.
func (s *Server) addContent(in *syncpb.ExchangeRequest, state *document.State, out *syncpb.ExchangeResponse) {
	if in.GetVersion() >= state.Version {
		return
	}
	if !in.GetFetches() {
		out.Content = state.Content
		return
	}
	digest := s.documents.Add(state.Version, state.Content)
	out.Digest, out.Length = digest.Bytes(), int64(len(state.Content))
	if limit := min(in.GetFormLimit(), maxFormBytes); limit > 0 {
		if form, base, ok := s.documents.Small(doctransfer.ParseDigest(in.GetDigest()), digest, int(limit)); ok {
			out.Form, out.FormBase = form, base.Bytes()
		}
	}
}

// Fetch implements the drpc service Documents on a control host.
func (s *Server) Fetch(_ context.Context, in *syncpb.FetchRequest) (*syncpb.FetchResponse, error) {
	if state, _ := s.Document.State(); state.Version > 0 {
		s.documents.Add(state.Version, state.Content)
	}
	return answerFetch(s.documents, in), nil
}

// DocumentStats returns the counters of what this control host has handed out.
func (s *Server) DocumentStats() doctransfer.Stats { return s.documents.Stats() }

func answerFetch(store *doctransfer.Source, in *syncpb.FetchRequest) *syncpb.FetchResponse {
	r := store.Fetch(clock.SinceBoot(), doctransfer.Request{Caller: in.GetCaller(), Wanted: doctransfer.ParseDigest(in.GetWanted()),
		Base: doctransfer.ParseDigest(in.GetBase()), Encoding: in.GetEncoding(), Offset: clampInt(in.GetOffset()), Limit: clampInt(in.GetLimit())})
	return &syncpb.FetchResponse{Found: r.Found, RetryMs: r.RetryAfter.Milliseconds(), Base: r.Base.Bytes(), Encoding: r.Encoding,
		Total: int64(r.Total), Offset: int64(r.Offset), Part: r.Part, Holders: r.Holders}
}

// clampInt returns a size of a message within the bounds of a content.
func clampInt(v int64) int { return int(min(max(v, 0), 2*doctransfer.MaxContentBytes)) }

// Documents fetches on an entry host the contents that control hosts have confirmed, and
// hands them out to others.
type Documents struct {
	// Peers returns the entry hosts that hand out contents.
	Peers func(now time.Duration) []doctransfer.Candidate
	// OnTransfer is called with each transfer that is complete, OnFailure with an error
	// that ended an attempt; source is empty if it is unknown.
	OnTransfer func(t *doctransfer.Transfer)
	OnFailure  func(source string, err error)

	store   *doctransfer.Source
	fetcher *doctransfer.Fetcher
	wake    chan struct{} // receives when a newer version is confirmed
	// first is closed when the first content that was fetched is in force.
	first     chan struct{}
	closeOnce sync.Once
	mu        sync.Mutex
	// controls are the control hosts that hand out contents, by address.
	controls map[string]doctransfer.Candidate
	// confirmed are the last confirmations of versions that have not arrived.
	confirmed map[uint64]confirmation
}

// confirmation is what a response of a control host says of the configuration, of which the
// content is missing.
type confirmation struct {
	sentAt  time.Duration
	address string
	out     *syncpb.ExchangeResponse
}

// asOf returns the time up to which the configuration contains every acknowledged change,
// or 0 if it is unknown.
func (c confirmation) asOf() time.Duration {
	if !c.out.GetKnown() {
		return 0
	}
	return c.sentAt - time.Duration(c.out.GetAgeMs())*time.Millisecond
}

// NewDocuments returns the documents of a host, which has none yet.
func NewDocuments(self doctransfer.Host) *Documents {
	store := doctransfer.NewSource(entryTransfers, entryContentBytes)
	return &Documents{store: store, fetcher: doctransfer.NewFetcher(self, store), wake: make(chan struct{}, 1), first: make(chan struct{}),
		controls: map[string]doctransfer.Candidate{}, confirmed: map[uint64]confirmation{}}
}

// Fetch implements the drpc service Documents on an entry host.
func (d *Documents) Fetch(_ context.Context, in *syncpb.FetchRequest) (*syncpb.FetchResponse, error) {
	return answerFetch(d.store, in), nil
}

// Stats returns the counters of what this host has handed out.
func (d *Documents) Stats() doctransfer.Stats { return d.store.Stats() }

// AwaitsContent reports whether the content of the version has yet to be fetched.
func (u Update) AwaitsContent() bool { return len(u.GetDigest()) > 0 && len(u.GetContent()) == 0 }

// requestDocument completes a request with what this host has. Control hosts of other
// regions send no forms while one of this region responds, and none does during a transfer.
func (c *Client) requestDocument(in *syncpb.ExchangeRequest, address string, now time.Duration) {
	d := c.Documents
	if d == nil {
		return
	}
	in.Fetches = true
	if d.fetcher.Current() == 0 && c.near(address, now) {
		_, digest := d.store.Newest()
		in.FormLimit, in.Digest = maxFormBytes, digest.Bytes()
	}
}

// near reports whether a control host is of the region of this host or of an unknown one, or
// whether no control host of the region responds or is known.
func (c *Client) near(address string, now time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	region := c.regionByControl[address]
	if region == c.Region || region == "" {
		return true
	}
	if c.sameRegionHeardAt > 0 {
		return now-c.sameRegionHeardAt > sameRegionSilenceTimeout
	}
	for _, other := range c.regionByControl {
		if other == c.Region {
			return false
		}
	}
	return true
}

// receiveDocument completes a response with the content, if this host has it or the response
// brought it. Otherwise the content is fetched, and the response holds until then.
// It returns the function that begins to fetch, to be called when the rest of the response,
// which lists the hosts, has been applied.
func (c *Client) receiveDocument(sentAt time.Duration, address string, version uint64, out *syncpb.ExchangeResponse) (fetch func()) {
	d := c.Documents
	fetch = func() {}
	if d == nil {
		return fetch
	}
	d.recordControls(address, out)
	if out.GetVersion() <= version {
		return fetch
	}
	if len(out.GetDigest()) == 0 { // a control host of an earlier build
		if len(out.GetContent()) > 0 {
			d.store.Add(out.GetVersion(), out.GetContent())
		}
		return fetch
	}
	target := doctransfer.Target{Version: out.GetVersion(), Digest: doctransfer.ParseDigest(out.GetDigest()), Length: clampInt(out.GetLength())}
	if out.Content = d.store.Content(target.Digest); out.Content != nil {
		d.takeConfirmation(target.Version)
		return fetch
	}
	if len(out.GetForm()) > 0 {
		content, err := d.fetcher.Accept(target, doctransfer.ParseDigest(out.GetFormBase()), out.GetForm())
		if err == nil {
			out.Content = content
			d.takeConfirmation(target.Version)
			return fetch
		}
		d.OnFailure(address, err) // it is fetched
	}
	k := confirmation{sentAt, address, &syncpb.ExchangeResponse{Known: out.GetKnown(), AgeMs: out.GetAgeMs(), Index: out.GetIndex(), Version: out.GetVersion(),
		Evacuated: out.GetEvacuated(), Restored: out.GetRestored()}}
	return func() { d.confirm(target, k) }
}

func (d *Documents) recordControls(address string, out *syncpb.ExchangeResponse) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, h := range out.GetControls() {
		if !h.GetDocuments() {
			delete(d.controls, h.GetPeer()) // of an earlier build, perhaps again
			continue
		}
		k := d.controls[h.GetPeer()]
		k.Address, k.DataCentre, k.Region, k.Control = h.GetPeer(), h.GetDataCentre(), h.GetRegion(), true
		d.controls[h.GetPeer()] = k
	}
	if k, ok := d.controls[address]; ok {
		k.Version = out.GetVersion()
		d.controls[address] = k
	}
}

func (d *Documents) confirm(t doctransfer.Target, c confirmation) {
	d.mu.Lock()
	if old, ok := d.confirmed[t.Version]; !ok || c.asOf() >= old.asOf() {
		d.confirmed[t.Version] = c
	}
	d.mu.Unlock()
	if d.fetcher.Confirm(t) {
		select {
		case d.wake <- struct{}{}:
		default:
		}
	}
}

// takeConfirmation returns the last confirmation of a version and forgets those of earlier
// ones.
func (d *Documents) takeConfirmation(version uint64) (confirmation, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c, ok := d.confirmed[version]
	for v := range d.confirmed {
		if v <= version {
			delete(d.confirmed, v)
		}
	}
	return c, ok
}

// candidates returns the hosts from which a content may be fetched.
func (c *Client) candidates(now time.Duration) []doctransfer.Candidate {
	out := c.Documents.Peers(now)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Documents.mu.Lock()
	defer c.Documents.mu.Unlock()
	for address, k := range c.Documents.controls {
		if _, known := c.regionByControl[address]; !known {
			delete(c.Documents.controls, address)
			continue
		}
		responds, called := c.responds[address]
		k.Silent = called && !responds
		out = append(out, k)
	}
	return out
}

// fetchDocuments fetches the contents that have been confirmed until ctx ends.
func (c *Client) fetchDocuments(ctx context.Context) {
	for ctx.Err() == nil {
		var wait time.Duration
		err := recovery.Do(func() error { wait = c.fetchPart(ctx); return nil })
		if err != nil {
			c.Documents.OnFailure("", err)
			wait = retryInterval
		}
		if wait == 0 {
			continue
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
		case <-c.Documents.wake:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// fetchPart makes the next call, if one is due, and returns the time until the one after it.
func (c *Client) fetchPart(ctx context.Context) time.Duration {
	d := c.Documents
	now := clock.SinceBoot()
	candidates := c.candidates(now)
	call, wait := d.fetcher.Next(now, candidates)
	if call == nil {
		if wait == 0 {
			wait = documentIdleTime
		}
		return wait
	}
	r, err := c.fetch(ctx, call)
	if ctx.Err() != nil {
		return 0
	}
	now = clock.SinceBoot()
	t, corrupt := d.fetcher.Result(now, call, candidates, r, err)
	if corrupt != nil {
		d.OnFailure(call.Address, corrupt)
	}
	if t != nil {
		d.OnTransfer(t)
		c.applyDocument(now, t)
	}
	return 0
}

func (c *Client) fetch(ctx context.Context, call *doctransfer.Call) (doctransfer.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, call.Timeout)
	defer cancel()
	in := call.Request
	out, err := syncpb.NewDRPCDocumentsClient(c.Dial(call.Address)).Fetch(ctx, &syncpb.FetchRequest{Caller: in.Caller, Wanted: in.Wanted.Bytes(), Base: in.Base.Bytes(),
		Encoding: in.Encoding, Offset: int64(in.Offset), Limit: int64(in.Limit)})
	if err != nil {
		return doctransfer.Response{}, err
	}
	return doctransfer.Response{Found: out.GetFound(), RetryAfter: clock.Millis(float64(out.GetRetryMs())), Base: doctransfer.ParseDigest(out.GetBase()), Encoding: out.GetEncoding(),
		Total: clampInt(out.GetTotal()), Offset: clampInt(out.GetOffset()), Part: out.GetPart(), Holders: out.GetHolders()}, nil
}

// applyDocument applies the last confirmation of a version whose content has arrived. The
// rest of that response has been applied before.
func (c *Client) applyDocument(now time.Duration, t *doctransfer.Transfer) {
	k, ok := c.Documents.takeConfirmation(t.Version)
	if !ok {
		return // the next response of a control host names it
	}
	k.out.Content = t.Content
	c.applyMu.Lock()
	defer c.applyMu.Unlock()
	c.Apply(now, Update{SentAt: k.sentAt, ControlAddress: k.address, ExchangeResponse: k.out})
	c.Documents.closeOnce.Do(func() { close(c.Documents.first) })
}

// pause waits between two exchanges. Until the first content has been fetched it ends when
// that is in force, so that the host reports at once that it serves.
func (c *Client) pause(ctx context.Context, wait time.Duration) {
	if c.Documents == nil {
		clock.Sleep(ctx, wait)
		return
	}
	select {
	case <-c.Documents.first:
		clock.Sleep(ctx, wait)
		return
	default:
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-c.Documents.first:
	case <-timer.C:
	}
}
