package suspects

import (
	"maps"
	"slices"
	"time"
)

const (
	// quarantineCrashes is the number of crashes after which a key is quarantined, and
	// retryCrashes the number after which requests with it are no longer retried.
	quarantineCrashes = 3
	retryCrashes      = 2
	// crashInterval is the time within which several crashes count as one: targets that
	// lose their power together do not crash because of a request.
	crashInterval = 100 * time.Millisecond
	// quarantineDuration is how long requests with a quarantined key are refused.
	quarantineDuration = 10 * time.Minute
	// crashWindow is how long a crash counts, and maxCrashRecords how many are kept.
	crashWindow     = time.Minute
	maxCrashRecords = 512
	// maxSuspectKeys bounds the keys of one crash.
	maxSuspectKeys = 256
	// shareDuration is how long a new crash or completion is reported to other hosts.
	shareDuration = 2 * time.Second
	// maxServedKeys is the number of completions after which a new generation begins.
	// The generation before the last one is forgotten.
	maxServedKeys = 50_000
)

// Crash is the end of one process of a target, with the keys of the requests that had
// just begun or were about to begin there.
type Crash struct {
	Target      string
	Incarnation uint64
	At          time.Duration
	Keys        []uint64
}

// KeyTime is a key with a time: the end of its quarantine, or its last completion.
type KeyTime struct {
	Key uint64
	At  time.Duration
}

// Update is what hosts tell each other.
type Update struct {
	Crashes     []Crash
	Served      []KeyTime
	Quarantined []KeyTime
}

type crashRecord struct {
	at, learnedAt time.Duration
	keys          map[uint64]bool
}

type servedRecord struct {
	at, learnedAt time.Duration
}

// Quarantine finds out which part of a request crashes targets. A request has several
// keys, such as one for each shared segment of its prompt. A key is quarantined if it
// was present in several crashes since a request with it last completed: a sound
// segment completes again and again, even if it is often present when a target crashes.
// A completion also ends the quarantine of a key: requests that were sent before it began
// are still running. It does no I/O and is not safe for concurrent use. Times are those
// of this host.
type Quarantine struct {
	crashes     map[crashID]*crashRecord
	quarantined map[uint64]time.Duration // end, by key
	// served has the last completion of each key, in two generations.
	served, olderServed map[uint64]servedRecord
}

// NewQuarantine returns an empty quarantine.
func NewQuarantine() *Quarantine {
	return &Quarantine{crashes: map[crashID]*crashRecord{}, quarantined: map[uint64]time.Duration{}, served: map[uint64]servedRecord{}}
}

// RecordCrash records a crash, or further keys of a known one. It returns the keys that
// are quarantined because of it.
func (q *Quarantine) RecordCrash(now time.Duration, c Crash) []uint64 {
	id := crashID{c.Target, c.Incarnation}
	r := q.crashes[id]
	if r == nil {
		q.expire(now)
		if len(q.crashes) >= maxCrashRecords || now-c.At > crashWindow {
			return nil
		}
		r = &crashRecord{at: c.At, learnedAt: now, keys: map[uint64]bool{}}
		q.crashes[id] = r
	}
	changed := false
	for _, k := range c.Keys {
		if !r.keys[k] && len(r.keys) < maxSuspectKeys {
			r.keys[k], changed = true, true
		}
	}
	if !changed {
		return nil
	}
	r.learnedAt = now
	return q.evaluate(now, r)
}

// RecordServed records that a request with the keys has completed.
func (q *Quarantine) RecordServed(now time.Duration, keys []uint64) {
	for _, k := range keys {
		q.recordServed(now, k, now)
	}
}

// recordServed records a completion at a time. It is reported to other hosts only if it
// follows a crash or ends a quarantine: most keys complete all the time.
func (q *Quarantine) recordServed(now time.Duration, key uint64, at time.Duration) {
	old, _ := q.lastServed(key)
	r := servedRecord{at, old.learnedAt}
	if until, ok := q.quarantined[key]; ok && at > until-quarantineDuration {
		delete(q.quarantined, key)
		r.learnedAt = now
	} else if len(q.crashesOf(now, key)) > 0 {
		r.learnedAt = now
	}
	if len(q.served) >= maxServedKeys {
		q.olderServed, q.served = q.served, map[uint64]servedRecord{}
	}
	q.served[key] = r
}

func (q *Quarantine) lastServed(key uint64) (servedRecord, bool) {
	r, ok := q.served[key]
	if !ok {
		r, ok = q.olderServed[key]
	}
	return r, ok
}

// Refused returns the end of the quarantine of the first of the keys that is
// quarantined. retry means that the request has been sent before: it is then also
// refused for a key that has crashed fewer targets.
func (q *Quarantine) Refused(now time.Duration, keys []uint64, retry bool) (until time.Duration, refused bool) {
	if len(q.crashes) == 0 && len(q.quarantined) == 0 {
		return 0, false
	}
	for _, k := range keys {
		if until := q.quarantined[k]; now < until {
			return until, true
		}
		if retry && q.countApart(q.crashesOf(now, k)) >= retryCrashes {
			return now, true
		}
	}
	return 0, false
}

// crashesOf returns the crashes in which a key was present since its last completion.
func (q *Quarantine) crashesOf(now time.Duration, key uint64) []crashID {
	var out []crashID
	served, known := q.lastServed(key)
	for id, r := range q.crashes {
		if r.keys[key] && now-r.at <= crashWindow && (!known || r.at > served.at) {
			out = append(out, id)
		}
	}
	return out
}

// countApart counts crashes that are at least crashInterval apart.
func (q *Quarantine) countApart(crashes []crashID) int {
	times := make([]time.Duration, len(crashes))
	for i, id := range crashes {
		times[i] = q.crashes[id].at
	}
	slices.Sort(times)
	n, last := 0, time.Duration(0)
	for _, at := range times {
		if n == 0 || at-last >= crashInterval {
			n, last = n+1, at
		}
	}
	return n
}

// evaluate quarantines the keys of a crash that have crashed enough targets and returns
// the new ones.
func (q *Quarantine) evaluate(now time.Duration, r *crashRecord) []uint64 {
	candidates := map[uint64][]crashID{}
	for k := range r.keys {
		if crashes := q.crashesOf(now, k); q.countApart(crashes) >= quarantineCrashes {
			candidates[k] = crashes
		}
	}
	var out []uint64
	for k, crashes := range candidates {
		if now < q.quarantined[k] || q.explained(k, crashes, candidates) {
			continue
		}
		out = append(out, k)
	}
	for _, k := range out {
		q.quarantined[k] = now + quarantineDuration
	}
	return out
}

// explained reports whether another key was present in all crashes of a key and is more
// likely to be the cause: it was present in further crashes or, unlike this key, no
// request with it has ever completed.
func (q *Quarantine) explained(key uint64, crashes []crashID, candidates map[uint64][]crashID) bool {
	_, served := q.lastServed(key)
	for other, otherCrashes := range candidates {
		if other == key {
			continue
		}
		_, otherServed := q.lastServed(other)
		if len(otherCrashes) == len(crashes) && (!served || otherServed) || len(otherCrashes) < len(crashes) {
			continue
		}
		if !slices.ContainsFunc(crashes, func(id crashID) bool { return !q.crashes[id].keys[other] }) {
			return true
		}
	}
	return false
}

func (q *Quarantine) expire(now time.Duration) {
	maps.DeleteFunc(q.crashes, func(_ crashID, r *crashRecord) bool { return now-r.at > crashWindow })
	maps.DeleteFunc(q.quarantined, func(_ uint64, until time.Duration) bool { return now >= until })
}

// Recent returns what other hosts should know: what was learned within shareDuration,
// and all quarantined keys.
func (q *Quarantine) Recent(now time.Duration) Update {
	var out Update
	suspects := map[uint64]bool{}
	for id, r := range q.crashes {
		for k := range r.keys {
			suspects[k] = true
		}
		if now-r.learnedAt <= shareDuration {
			out.Crashes = append(out.Crashes, Crash{Target: id.target, Incarnation: id.incarnation, At: r.at, Keys: slices.Collect(maps.Keys(r.keys))})
		}
	}
	for k := range suspects {
		if r, ok := q.lastServed(k); ok && r.learnedAt > 0 && now-r.learnedAt <= shareDuration {
			out.Served = append(out.Served, KeyTime{k, r.at})
		}
	}
	for k, until := range q.quarantined {
		if now < until {
			out.Quarantined = append(out.Quarantined, KeyTime{k, until})
		}
	}
	return out
}

// Merge applies an update of another host and returns the keys that are quarantined
// because of it.
func (q *Quarantine) Merge(now time.Duration, u Update) []uint64 {
	for _, s := range u.Served {
		if r, ok := q.lastServed(s.Key); !ok || s.At > r.at {
			q.recordServed(now, s.Key, s.At)
		}
	}
	var out []uint64
	for _, k := range u.Quarantined {
		if r, ok := q.lastServed(k.Key); ok && r.at > k.At-quarantineDuration {
			q.served[k.Key] = servedRecord{r.at, now} // the other host does not know of it
			continue
		}
		if now >= q.quarantined[k.Key] && now < k.At && k.At <= now+quarantineDuration {
			q.quarantined[k.Key] = k.At
			out = append(out, k.Key)
		}
	}
	for _, c := range u.Crashes {
		out = append(out, q.RecordCrash(now, c)...)
	}
	return out
}
