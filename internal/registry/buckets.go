package registry

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Buckets is the number of parts into which a table is divided by the IDs of the targets.
// Tables are compared by a digest of each part.
const Buckets = 64

// bucketOf returns the bucket of a target.
func bucketOf(id string) int { return int(xxhash.Sum64String(id) % Buckets) }

// digest returns a hash of what a host must know of the target. The sequence is left out, as
// it differs between hosts without effect, and the warm-up, as each host has its own clock. Of
// a process that has left only its start counts. Whether a process is established matters
// beside others only.
func (r Record) digest(disputed bool) uint64 {
	if r.State == Left {
		r = Record{ID: r.ID, StartMillis: r.StartMillis, State: Left}
	}
	d := xxhash.New()
	for _, s := range []string{r.ID, r.Service, r.Address, r.DataCentre, r.Software} {
		_, _ = d.WriteString(s)      // never fails
		_, _ = d.Write([]byte{0xff}) // no UTF-8 text has this byte
	}
	numbers := binary.BigEndian.AppendUint64(nil, uint64(r.StartMillis))
	numbers = binary.BigEndian.AppendUint64(numbers, uint64(r.Slots))
	numbers = append(numbers, byte(r.State))
	if r.Silent {
		numbers = append(numbers, 1)
	}
	if r.Established && disputed {
		numbers = append(numbers, 2)
	}
	_, _ = d.Write(numbers)
	return d.Sum64()
}

// updateDigest follows a change of the row. t.mu must be held.
func (t *Table) updateDigest(r *row) {
	b := bucketOf(r.ID)
	t.digests[b] -= r.digest
	r.digest = r.Record.digest(t.disputed(r))
	t.digests[b] += r.digest
}

// deleteRow removes a record. t.mu must be held.
func (t *Table) deleteRow(r *row) {
	t.digests[bucketOf(r.ID)] -= r.digest
	removeRow(t.byID, r.ID, r)
	removeRow(t.byAddress, r.Address, r)
	delete(t.rows, r.Key())
	for _, o := range t.neighbours(r) {
		t.updateDigest(o)
	}
}

func removeRow(index map[string][]*row, name string, r *row) {
	rest := slices.DeleteFunc(index[name], func(o *row) bool { return o == r })
	if len(rest) == 0 {
		delete(index, name)
		return
	}
	index[name] = rest
}

// Digests returns the digest of each bucket. Tables with equal digests have the same
// targets.
func (t *Table) Digests() []uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]uint64(nil), t.digests[:]...)
}

// secondaryDelay is how long a caller is expected to have a change from another source before
// it is told the change as well.
const secondaryDelay = time.Second

// Query asks for changes on behalf of another host.
type Query struct {
	// Cursor is the position up to which the host has the changes; 0 if unknown.
	Cursor uint64
	// Digests are those of the host's table; nil if it has not told them.
	Digests []uint64
	// Pass is where a comparison by digests is, from the answer before; the zero value begins
	// one.
	Pass Pass
	// Limit is the number of records from which the rest is left for the next query.
	Limit int
	// Secondary means that another table tells the host all changes. It is told departures
	// and warm-ups at once and the rest only if it still lacks that after secondaryDelay. Of
	// targets that are silent here it is told those whose last heartbeat came here: the others
	// may have reported elsewhere.
	Secondary bool
}

// Pass is a comparison of all buckets over several queries. Each bucket is compared once, so
// it ends also if the tables go on to differ.
type Pass struct {
	// First is the bucket with which it begins, Done the number of buckets compared.
	First, Done int
	// Revision is the position up to which the table was compared from the beginning on.
	Revision uint64
}

// Changes is the answer to a query.
type Changes struct {
	Records []Record
	// Cursor is the position up to which the host has the changes with these records.
	Cursor uint64
	// Incomplete means that more is to be told, and that the next query needs digests.
	Incomplete bool
	Pass       Pass
}

// Changes returns what a host has to be told.
func (t *Table) Changes(now time.Duration, q Query) Changes {
	t.mu.Lock()
	defer t.mu.Unlock()
	if q.Cursor == t.revision {
		return Changes{Cursor: q.Cursor}
	}
	hasDigests := len(q.Digests) == Buckets
	var urgent []Record
	var pending []*row
	settled := t.revision // no change up to there is left for later
	for _, r := range t.rows {
		switch {
		case r.revision <= q.Cursor:
		case r.isUrgent(now) && q.Cursor > 0:
			if q.Pass.Done == 0 || r.revision > q.Pass.Revision {
				urgent = append(urgent, r.Record)
			}
		case q.Secondary && r.Silent && !r.isDirect:
		case q.Secondary && r.State != Ready && now-r.changedAt <= secondaryDelay:
			urgent = append(urgent, r.Record)
			settled = min(settled, r.revision-1)
		case q.Secondary && now-r.changedAt <= secondaryDelay:
			settled = min(settled, r.revision-1)
		case hasDigests && q.Digests[bucketOf(r.ID)] == t.digests[bucketOf(r.ID)] && r.latestCold <= now:
		default:
			pending = append(pending, r)
		}
	}
	switch {
	case len(pending) == 0:
		return Changes{Records: urgent, Cursor: settled}
	case !hasDigests && (q.Secondary || q.Cursor == 0 || len(pending) > q.Limit):
		return Changes{Records: urgent, Cursor: q.Cursor, Incomplete: true}
	case !hasDigests:
		return Changes{Records: append(urgent, recordsOf(pending)...), Cursor: t.revision}
	}
	return continuePass(q, urgent, pending, settled)
}

// continuePass adds the pending records of the next buckets, at least of one. settled is where
// a pass that begins now ends.
func continuePass(q Query, records []Record, pending []*row, settled uint64) Changes {
	pass := q.Pass
	if pass.Done == 0 {
		pass.Revision = settled
	}
	var byBucket [Buckets][]*row
	for _, r := range pending {
		byBucket[bucketOf(r.ID)] = append(byBucket[bucketOf(r.ID)], r)
	}
	for told := 0; pass.Done < Buckets && told <= q.Limit; pass.Done++ {
		rows := byBucket[(pass.First+pass.Done)%Buckets]
		records, told = append(records, recordsOf(rows)...), told+len(rows)
	}
	if pass.Done < Buckets {
		return Changes{records, q.Cursor, true, pass}
	}
	return Changes{Records: records, Cursor: min(pass.Revision, settled)}
}

// isUrgent reports whether a host must be told a change by each table: a departure, or a
// warm-up that has begun or ended early.
func (r *row) isUrgent(now time.Duration) bool { return r.State != Ready || r.latestCold > now }

func recordsOf(rows []*row) []Record {
	out := make([]Record, len(rows))
	for i, r := range rows {
		out[i] = r.Record
	}
	return out
}
