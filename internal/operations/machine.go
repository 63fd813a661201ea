package operations

import (
	"bytes"
	"cmp"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	pb "geraniumturn.example/geraniumturn/internal/operations/operationspb"
)

// MachineName is the name of the state machine in the replicated log.
const MachineName = "operations"

const (
	// Retention is how long a record is kept after its Begin, and again after its
	// Finish.
	Retention = 24 * time.Hour
	// MaxRecords is the maximum number of records. A record takes about 0.6 KB of
	// heap (BenchmarkFullTable), so a full table takes a third of a voter's memory
	// budget of 64 MB.
	MaxRecords = 32_768
	// workspaceDivisor limits the records of one workspace to MaxRecords divided by it.
	// Without the limit one workspace could fill the table and block the operations of
	// all others for a day.
	workspaceDivisor = 4
	// tombstoneRetention is how long the tombstone of an attempt is kept. It only
	// has to outlive delayed copies of the attempt's Begin in the log's transport.
	tombstoneRetention = time.Hour
	maxTombstones      = MaxRecords
	maxHostTimes       = 1024
	// MaxListed is the maximum number of records that List returns.
	MaxListed = 1000
)

// Machine is the replicated table of operations. Invariants: a key has at most one
// record; a record is removed only by the Abandon of its own attempt before its
// Finish, or by expiry; an abandoned attempt never gets a record again.
type Machine struct {
	mu sync.Mutex
	// records are by key digest, byAttempt by attempt.
	records         map[string]*pb.Record
	byAttempt       map[string]*pb.Record
	workspaceCounts map[string]int
	// tombstones are the expiry times, in milliseconds, of attempts that must not
	// get a record.
	tombstones map[string]int64
	// hostTimes are the latest wall-clock times, in milliseconds, that each host
	// proposed.
	hostTimes map[string]int64
	// agreedMS is the time by which records expire, in milliseconds. It never decreases.
	agreedMS int64
	// expiries and tombstoneExpiries are sorted by time, because agreedMS never
	// decreases. An entry of a record that was extended or removed is skipped.
	expiries          []expiry
	tombstoneExpiries []expiry
	limit             int
}

type expiry struct {
	atMS    int64
	attempt string
}

// NewMachine returns a machine without records.
func NewMachine() *Machine { return newMachine(MaxRecords) }

func newMachine(limit int) *Machine {
	m := &Machine{limit: limit}
	m.reset()
	return m
}

func (m *Machine) reset() {
	m.records, m.byAttempt = map[string]*pb.Record{}, map[string]*pb.Record{}
	m.workspaceCounts, m.tombstones, m.hostTimes = map[string]int{}, map[string]int64{}, map[string]int64{}
	m.expiries, m.tombstoneExpiries, m.agreedMS = nil, nil, 0
}

// Apply implements control.Machine.
func (m *Machine) Apply(_ uint64, command []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	var c pb.Command
	result := &pb.Result{}
	if err := proto.Unmarshal(command, &c); err == nil {
		m.advanceTime(c.GetHost(), c.GetNowMs())
		result = m.execute(&c)
	}
	out, err := proto.Marshal(result)
	if err != nil {
		panic(fmt.Sprintf("operations: marshal result: %v", err))
	}
	return out
}

// advanceTime sets the agreed time to the second latest of the times that the hosts
// proposed, so that one host with a wrong clock cannot expire the records of others.
// While only one host has proposed a time, that time is used.
func (m *Machine) advanceTime(host string, nowMS int64) {
	m.hostTimes[host] = max(m.hostTimes[host], nowMS)
	if len(m.hostTimes) > maxHostTimes {
		m.dropOldestHostTime()
	}
	var latest, secondLatest int64
	for _, t := range m.hostTimes {
		if t > latest {
			latest, secondLatest = t, latest
		} else if t > secondLatest {
			secondLatest = t
		}
	}
	if len(m.hostTimes) == 1 {
		secondLatest = latest
	}
	m.agreedMS = max(m.agreedMS, secondLatest)
	m.expire()
}

func (m *Machine) dropOldestHostTime() {
	oldest := ""
	for host, t := range m.hostTimes {
		if oldest == "" || t < m.hostTimes[oldest] || t == m.hostTimes[oldest] && host < oldest {
			oldest = host
		}
	}
	delete(m.hostTimes, oldest)
}

func (m *Machine) expire() {
	for len(m.expiries) > 0 && m.expiries[0].atMS <= m.agreedMS {
		e := m.expiries[0]
		m.expiries = m.expiries[1:]
		if r := m.byAttempt[e.attempt]; r != nil && r.ExpiresMs == e.atMS {
			m.remove(r)
		}
	}
	for len(m.tombstoneExpiries) > 0 && (m.tombstoneExpiries[0].atMS <= m.agreedMS || len(m.tombstones) > maxTombstones) {
		delete(m.tombstones, m.tombstoneExpiries[0].attempt)
		m.tombstoneExpiries = m.tombstoneExpiries[1:]
	}
}

func (m *Machine) execute(c *pb.Command) *pb.Result {
	switch k := c.Kind.(type) {
	case *pb.Command_Begin:
		return m.begin(c.Host, k.Begin)
	case *pb.Command_Finish:
		return m.finish(k.Finish)
	case *pb.Command_Abandon:
		return m.abandon(k.Abandon)
	case *pb.Command_Look:
		if r := m.records[string(k.Look.GetKeyDigest())]; r != nil {
			return &pb.Result{Outcome: pb.Result_EXISTS, Record: r}
		}
		return &pb.Result{Outcome: pb.Result_ABSENT}
	case *pb.Command_List:
		return m.list(k.List)
	}
	return &pb.Result{}
}

func (m *Machine) begin(host string, c *pb.Begin) *pb.Result {
	if c.GetAttempt() == "" || len(c.GetKeyDigest()) == 0 || c.GetWorkspace() == "" {
		return &pb.Result{}
	}
	if r := m.records[string(c.KeyDigest)]; r != nil {
		// The log may deliver a command twice, so a repeated Begin of the attempt that
		// owns the record gets the same result as the first one.
		if r.Attempt == c.Attempt && r.FinishedMs == 0 {
			return &pb.Result{Outcome: pb.Result_CREATED, Record: r}
		}
		// The tombstone keeps a second delivery of this command, after the record
		// was removed, from creating a record of an attempt that nobody runs.
		m.addTombstone(c.Attempt)
		return &pb.Result{Outcome: pb.Result_EXISTS, Record: r}
	}
	if _, ok := m.tombstones[c.Attempt]; ok {
		return &pb.Result{Outcome: pb.Result_ABANDONED}
	}
	if m.byAttempt[c.Attempt] != nil {
		return &pb.Result{} // an attempt belongs to one key
	}
	if len(m.records) >= m.limit || m.workspaceCounts[c.Workspace] >= max(1, m.limit/workspaceDivisor) {
		m.addTombstone(c.Attempt)
		return &pb.Result{Outcome: pb.Result_FULL}
	}
	r := &pb.Record{
		Workspace: c.Workspace, KeyDigest: c.KeyDigest, BodyDigest: c.BodyDigest, Attempt: c.Attempt,
		Host: host, DataCentre: c.DataCentre, BegunMs: m.agreedMS,
	}
	m.insert(r)
	m.extend(r)
	return &pb.Result{Outcome: pb.Result_CREATED, Record: r}
}

func (m *Machine) insert(r *pb.Record) {
	m.records[string(r.KeyDigest)] = r
	m.byAttempt[r.Attempt] = r
	m.workspaceCounts[r.Workspace]++
}

func (m *Machine) extend(r *pb.Record) {
	r.ExpiresMs = m.agreedMS + Retention.Milliseconds()
	m.expiries = append(m.expiries, expiry{r.ExpiresMs, r.Attempt})
}

func (m *Machine) remove(r *pb.Record) {
	delete(m.records, string(r.KeyDigest))
	delete(m.byAttempt, r.Attempt)
	if m.workspaceCounts[r.Workspace]--; m.workspaceCounts[r.Workspace] == 0 {
		delete(m.workspaceCounts, r.Workspace)
	}
}

func (m *Machine) finish(c *pb.Finish) *pb.Result {
	r := m.byAttempt[c.GetAttempt()]
	if r == nil {
		return &pb.Result{Outcome: pb.Result_ABSENT}
	}
	if r.FinishedMs == 0 {
		r.FinishedMs = max(1, m.agreedMS)
		r.Status, r.AnswerDigest, r.Holders = c.Status, c.AnswerDigest, c.Holders
		m.extend(r)
	}
	return &pb.Result{Outcome: pb.Result_DONE, Record: r}
}

func (m *Machine) abandon(c *pb.Abandon) *pb.Result {
	r := m.byAttempt[c.GetAttempt()]
	if r != nil && r.FinishedMs != 0 {
		return &pb.Result{Outcome: pb.Result_EXISTS, Record: r}
	}
	if r != nil {
		m.remove(r)
	}
	m.addTombstone(c.GetAttempt())
	return &pb.Result{Outcome: pb.Result_DONE}
}

// addTombstone marks an attempt that must never get a record. It has no effect on an
// attempt that has one.
func (m *Machine) addTombstone(attempt string) {
	if _, ok := m.tombstones[attempt]; ok || attempt == "" || m.byAttempt[attempt] != nil {
		return
	}
	expiresMS := m.agreedMS + tombstoneRetention.Milliseconds()
	m.tombstones[attempt] = expiresMS
	m.tombstoneExpiries = append(m.tombstoneExpiries, expiry{expiresMS, attempt})
}

func (m *Machine) list(c *pb.List) *pb.Result {
	var out []*pb.Record
	for _, r := range m.records {
		if c.GetWorkspace() == "" || r.Workspace == c.GetWorkspace() {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b *pb.Record) int {
		return cmp.Or(-cmp.Compare(a.BegunMs, b.BegunMs), bytes.Compare(a.KeyDigest, b.KeyDigest))
	})
	limit := MaxListed
	if n := int(c.GetLimit()); n > 0 {
		limit = min(limit, n)
	}
	return &pb.Result{Outcome: pb.Result_DONE, Records: out[:min(limit, len(out))]}
}

// Snapshot implements control.Machine. Equal tables have equal snapshots.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := &pb.State{AgreedMs: m.agreedMS}
	for _, r := range m.records {
		s.Records = append(s.Records, r)
	}
	slices.SortFunc(s.Records, func(a, b *pb.Record) int {
		return cmp.Or(cmp.Compare(a.ExpiresMs, b.ExpiresMs), cmp.Compare(a.Attempt, b.Attempt))
	})
	for _, e := range m.tombstoneExpiries {
		s.Tombstones = append(s.Tombstones, &pb.Tombstone{Attempt: e.attempt, ExpiresMs: e.atMS})
	}
	for _, host := range slices.Sorted(maps.Keys(m.hostTimes)) {
		s.Times = append(s.Times, &pb.HostTime{Host: host, NowMs: m.hostTimes[host]})
	}
	out, err := proto.MarshalOptions{Deterministic: true}.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("operations: snapshot: %w", err)
	}
	return out, nil
}

// Restore implements control.Machine.
func (m *Machine) Restore(data []byte) error {
	var s pb.State
	if err := proto.Unmarshal(data, &s); err != nil {
		return fmt.Errorf("operations: restore: %w", err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reset()
	m.agreedMS = s.AgreedMs
	for _, r := range s.Records {
		m.insert(r)
		m.expiries = append(m.expiries, expiry{r.ExpiresMs, r.Attempt})
	}
	for _, t := range s.Tombstones {
		m.tombstones[t.Attempt] = t.ExpiresMs
		m.tombstoneExpiries = append(m.tombstoneExpiries, expiry{t.ExpiresMs, t.Attempt})
	}
	for _, t := range s.Times {
		m.hostTimes[t.Host] = t.NowMs
	}
	return nil
}
