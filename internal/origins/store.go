package origins

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// retention is how long an origin is kept after its stream began.
	retention = 2 * time.Minute
	// maxRecords bounds the memory of a store to about 12 MB. Beyond it the oldest origins
	// are forgotten, and their streams cannot be resumed at other hosts.
	maxRecords = 1 << 17
	// MaxReport bounds the origins in one report.
	MaxReport = 4096
)

// Key identifies a stream by the attempt that brought its first event.
type Key uint64

// KeyOf returns the key of an attempt of a workspace.
func KeyOf(workspace, attempt string) Key {
	return Key(xxhash.Sum64String(workspace + "\x00" + attempt))
}

type record struct {
	// origin is an index in Store.origins, or conflict.
	origin int32
	at     time.Duration
}

// conflict marks a key with which streams of different origins began. Such a stream is
// unknown.
const conflict = -1

type keyTime struct {
	key Key
	at  time.Duration
}

// Store holds the origins of recent streams. It is safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	records map[Key]record
	ages    []keyTime // all records, oldest first
	// origins are the distinct origins; there are as many as versions of services.
	origins []Origin
	index   map[Origin]int32
	// own are the keys that Record added, oldest first. The cursor of the first one is
	// ownStart.
	own      []keyTime
	ownStart uint64
}

// NewStore returns an empty store.
func NewStore() *Store { return &Store{records: map[Key]record{}, index: map[Origin]int32{}} }

// Record adds an origin that Since reports to other hosts.
func (s *Store) Record(now time.Duration, k Key, o Origin) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.add(now, k, o) {
		s.own = append(s.own, keyTime{k, now})
	}
}

// Merge adds an origin that another host has reported.
func (s *Store) Merge(now time.Duration, k Key, o Origin) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(now, k, o)
}

// add reports whether the record is new. s.mu must be held.
func (s *Store) add(now time.Duration, k Key, o Origin) bool {
	s.expire(now)
	i, known := s.index[o]
	if !known {
		i = int32(len(s.origins))
		s.origins, s.index[o] = append(s.origins, o), i
	}
	if old, known := s.records[k]; known {
		if old.origin != i {
			old.origin = conflict
			s.records[k] = old
		}
		return false
	}
	s.records[k] = record{i, now}
	s.ages = append(s.ages, keyTime{k, now})
	return true
}

// expire removes old records, and the oldest ones beyond maxRecords. s.mu must be held.
func (s *Store) expire(now time.Duration) {
	expired := func(queue []keyTime) int {
		n := max(0, len(queue)-maxRecords+1)
		for n < len(queue) && now-queue[n].at > retention {
			n++
		}
		return n
	}
	n := expired(s.ages)
	for _, old := range s.ages[:n] {
		delete(s.records, old.key)
	}
	s.ages = s.ages[n:]
	n = expired(s.own)
	s.own, s.ownStart = s.own[n:], s.ownStart+uint64(n)
}

// Find returns the origin of a stream. It reports false if it is unknown.
func (s *Store) Find(now time.Duration, k Key) (Origin, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, known := s.records[k]
	if !known || r.origin == conflict || now-r.at > retention {
		return Origin{}, false
	}
	return s.origins[r.origin], true
}

// Since returns up to MaxReport own origins after the cursor, which starts at 0, with
// their keys by origin, and the next cursor.
func (s *Store) Since(now time.Duration, cursor uint64) (map[Origin][]Key, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	from := max(cursor, s.ownStart) - s.ownStart
	if from >= uint64(len(s.own)) {
		return nil, s.ownStart + uint64(len(s.own))
	}
	out := map[Origin][]Key{}
	report := s.own[from:min(uint64(len(s.own)), from+MaxReport)]
	for _, k := range report {
		if r, known := s.records[k.key]; known && r.origin != conflict {
			out[s.origins[r.origin]] = append(out[s.origins[r.origin]], k.key)
		}
	}
	return out, s.ownStart + from + uint64(len(report))
}
