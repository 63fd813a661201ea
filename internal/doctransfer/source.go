package doctransfer

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxPartBytes bounds a part of a form.
	MaxPartBytes = 64 << 10
	// maxForms bounds the compressed forms that are kept.
	maxForms = 16
	// idleTransferTime is the time without a request after which a transfer has ended.
	idleTransferTime = time.Second
	// slowLinkBytesPerMS is the rate at which a part leaves a host with a slow link. A
	// transfer counts for that time after its last part was handed out.
	slowLinkBytesPerMS = 875
	// minBusyTime and maxBusyTime bound the time after which a refused caller is to ask again.
	minBusyTime = 20 * time.Millisecond
	maxBusyTime = 500 * time.Millisecond
	// awaitTime is the time after which to ask again for a version that is arriving here.
	awaitTime = 60 * time.Millisecond
	// maxHolders is the number of other holders that a busy source names.
	maxHolders = 4
)

// Request asks for a part of a content.
type Request struct {
	// Caller is the peer address of the caller.
	Caller string
	Wanted Digest
	// Base is a content that the caller has; zero if it has none.
	Base Digest
	// Encoding identifies the form of which the caller has the bytes before Offset.
	Encoding uint64
	Offset   int
	Limit    int
}

// Response has a part of a form, or says when to ask again.
type Response struct {
	// Found is false if the source does not have the wanted content.
	Found bool
	// RetryAfter is set instead of Part if the source is busy, or if the content is
	// arriving there.
	RetryAfter time.Duration
	// Base is the content to which the form is a delta; zero if it is whole.
	Base Digest
	// Encoding identifies the bytes of the form, which are the same at sources of one
	// build. If it is another one than requested, Offset is 0.
	Encoding uint64
	Total    int
	Offset   int
	Part     []byte
	// Holders are hosts to which a busy source has handed the content.
	Holders []string
}

type content struct {
	version uint64
	digest  Digest
	data    []byte
}

type formKey struct{ base, wanted Digest }

type form struct {
	encoded  []byte
	encoding uint64
	usedAt   uint64 // in requests
}

type outgoing struct {
	wanted            Digest
	startedAt, endsAt time.Duration
	// finished means that the last part has been handed out.
	finished bool
}

// Source keeps the contents of the last versions and hands them out. It is safe for
// concurrent use. Invariant: the last content has the highest version.
type Source struct {
	maxTransfers, maxBytes int
	encode                 func(base, content []byte) ([]byte, error)

	mu       sync.Mutex
	contents []content // by version
	forms    map[formKey]*form
	requests uint64
	awaited  Digest // the content that is arriving at this host
	active   map[string]*outgoing
	holders  []string // of the newest content, that got it from here
	// meanTime is the mean time that transfers took.
	meanTime time.Duration
	stats    Stats
}

// Stats counts what a source has answered.
type Stats struct {
	// Parts and Bytes were handed out; Busy answers were given instead.
	Parts, Bytes, Busy int64
}

// Stats returns the counters.
func (s *Source) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// NewSource returns a source that serves at most maxTransfers at once, and keeps earlier
// contents up to maxBytes.
func NewSource(maxTransfers, maxBytes int) *Source {
	return &Source{maxTransfers: maxTransfers, maxBytes: maxBytes, encode: encode, forms: map[formKey]*form{}, active: map[string]*outgoing{}, meanTime: minBusyTime}
}

// Add adds the content of a version, unless there is a higher one, and returns its digest.
func (s *Source) Add(version uint64, data []byte) Digest {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := len(s.contents); n > 0 && s.contents[n-1].version >= version {
		for _, c := range s.contents {
			if c.version == version {
				return c.digest
			}
		}
		return DigestOf(data)
	}
	d := DigestOf(data)
	s.contents = append(s.contents, content{version, d, data})
	kept := 0
	for i := len(s.contents) - 1; i >= 0; i-- {
		if kept += len(s.contents[i].data); kept > s.maxBytes && i < len(s.contents)-1 {
			s.contents = slices.Delete(s.contents, 0, i+1)
			break
		}
	}
	for key := range s.forms {
		if s.find(key.wanted) == nil {
			delete(s.forms, key)
		}
	}
	s.holders = nil
	return d
}

// Newest returns the version and the digest of the newest content; zero if there is none.
func (s *Source) Newest() (uint64, Digest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.contents) == 0 {
		return 0, Digest{}
	}
	c := s.contents[len(s.contents)-1]
	return c.version, c.digest
}

// Content returns the content with a digest, or nil.
func (s *Source) Content(d Digest) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c := s.find(d); c != nil {
		return c.data
	}
	return nil
}

func (s *Source) find(d Digest) *content {
	for i := range s.contents {
		if s.contents[i].digest == d {
			return &s.contents[i]
		}
	}
	return nil
}

// addForm keeps a form as it was received, so that this host need not compress it.
func (s *Source) addForm(base, wanted Digest, encoded []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.find(wanted) != nil {
		s.keepForm(formKey{base, wanted}, encoded)
	}
}

// await says which content is arriving at this host; zero if none is.
func (s *Source) await(d Digest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.awaited = d
}

// Small returns the form of a content if it has at most limit bytes, and the base to which
// it is a delta.
func (s *Source) Small(base, wanted Digest, limit int) (encoded []byte, usedBase Digest, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f, usedBase := s.form(base, wanted)
	if f == nil || len(f.encoded) > limit {
		return nil, Digest{}, false
	}
	return f.encoded, usedBase, true
}

// form returns a form of a wanted content, and the base to which it is a delta. It returns
// nil if the content is unknown or cannot be compressed.
func (s *Source) form(base, wanted Digest) (*form, Digest) {
	c := s.find(wanted)
	if c == nil {
		return nil, Digest{}
	}
	var baseData []byte
	if b := s.find(base); b != nil && base != wanted {
		baseData = b.data
	} else {
		base = Digest{}
	}
	key := formKey{base, wanted}
	if s.forms[key] == nil {
		encoded, err := s.encode(baseData, c.data)
		if err != nil {
			return nil, Digest{}
		}
		s.keepForm(key, encoded)
	}
	s.requests++
	s.forms[key].usedAt = s.requests
	return s.forms[key], base
}

func (s *Source) keepForm(key formKey, encoded []byte) {
	if len(s.forms) >= maxForms {
		var oldest formKey
		first := true
		for k, f := range s.forms {
			if first || f.usedAt < s.forms[oldest].usedAt {
				oldest, first = k, false
			}
		}
		delete(s.forms, oldest)
	}
	s.requests++
	s.forms[key] = &form{encoded, xxhash.Sum64(encoded), s.requests}
}

// Fetch answers a request.
func (s *Source) Fetch(now time.Duration, in Request) Response {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endTransfers(now)
	if s.find(in.Wanted) == nil {
		if in.Wanted == s.awaited && in.Wanted != (Digest{}) {
			return Response{RetryAfter: awaitTime}
		}
		return Response{}
	}
	t := s.active[in.Caller]
	if t == nil && len(s.active) >= s.maxTransfers {
		s.stats.Busy++
		return Response{Found: true, RetryAfter: min(max(s.meanTime, minBusyTime), maxBusyTime), Holders: slices.Clone(s.holders)}
	}
	f, base := s.form(in.Base, in.Wanted)
	if f == nil {
		return Response{}
	}
	if t == nil || t.wanted != in.Wanted || t.finished {
		t = &outgoing{wanted: in.Wanted, startedAt: now}
		s.active[in.Caller] = t
	}
	out := Response{Found: true, Base: base, Encoding: f.encoding, Total: len(f.encoded)}
	if in.Encoding == f.encoding && in.Offset > 0 && in.Offset <= len(f.encoded) {
		out.Offset = in.Offset
	}
	out.Part = f.encoded[out.Offset:min(len(f.encoded), out.Offset+min(max(1, in.Limit), MaxPartBytes))]
	s.stats.Parts++
	s.stats.Bytes += int64(len(out.Part))
	t.endsAt = now + idleTransferTime
	if out.Offset+len(out.Part) == out.Total {
		t.finished = true
		t.endsAt = now + time.Duration(len(out.Part)/slowLinkBytesPerMS)*time.Millisecond
	}
	return out
}

// endTransfers removes the transfers that have ended. Those that were completed are holders
// of their content then.
func (s *Source) endTransfers(now time.Duration) {
	for caller, t := range s.active {
		if now <= t.endsAt {
			continue
		}
		delete(s.active, caller)
		if !t.finished {
			continue
		}
		s.meanTime += (t.endsAt - t.startedAt - s.meanTime) / 4
		if s.contents[len(s.contents)-1].digest == t.wanted && !slices.Contains(s.holders, caller) {
			s.holders = append(s.holders, caller)
			s.holders = s.holders[max(0, len(s.holders)-maxHolders):]
		}
	}
}
