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
	// Retention is how long a record is kept after its begin and its finish.
	Retention = 24 * time.Hour
	// MaxRecords bounds the table. A record takes about 0.6 KB of heap
	// (BenchmarkFullTable), so a full table takes a third of a voter's memory
	// budget of 64 MB.
	MaxRecords = 32_768
	// maxShare is the part of the table that one workspace may fill, so that
	// one workspace cannot stop the filings of all others for a day.
	maxShare = 4
	// tombstoneRetention is how long an abandoned attempt is remembered. It
	// only has to outlive delayed copies of its Begin in the log's transport.
	tombstoneRetention = time.Hour
	maxTombstones      = MaxRecords
	maxHostTimes       = 1024
	// MaxListed bounds the answer to List.
	MaxListed = 1000
)

// Machine is the replicated table of operations. Invariants: a key has at most
// one record; a record is removed only by its own attempt's Abandon before its
// Finish, or by expiry; an abandoned attempt never holds a record again.
type Machine struct {
	mu         sync.Mutex
	records    map[string]*pb.Record
	byAttempt  map[string]*pb.Record
	perSpace   map[string]int
	tombstones map[string]int64
	times      map[string]int64
	// agreed is the time by which records expire, in milliseconds. It never decreases.
	agreed int64
	// expiries and tombstoneExpiries are in order, because agreed never
	// decreases. An entry of a record that was renewed or removed is skipped.
	expiries          []expiry
	tombstoneExpiries []expiry
	limit             int
}

type expiry struct {
	at int64
	id string
}

// NewMachine returns an empty table.
func NewMachine() *Machine { return newMachine(MaxRecords) }

func newMachine(limit int) *Machine {
	m := &Machine{limit: limit}
	m.reset()
	return m
}

func (m *Machine) reset() {
	m.records, m.byAttempt = map[string]*pb.Record{}, map[string]*pb.Record{}
	m.perSpace, m.tombstones, m.times = map[string]int{}, map[string]int64{}, map[string]int64{}
	m.expiries, m.tombstoneExpiries, m.agreed = nil, nil, 0
}

// Apply implements control.Machine.
func (m *Machine) Apply(_ uint64, command []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	var c pb.Command
	result := &pb.Result{}
	if err := proto.Unmarshal(command, &c); err == nil {
		m.advance(c.GetHost(), c.GetNowMs())
		result = m.execute(&c)
	}
	out, err := proto.Marshal(result)
	if err != nil {
		panic(fmt.Sprintf("operations: marshal result: %v", err))
	}
	return out
}

// advance moves the agreed time to the second latest of the times that the
// hosts last gave. One host whose clock is wrong can therefore not expire the
// records of others. With a single host its own time counts.
func (m *Machine) advance(host string, now int64) {
	m.times[host] = max(m.times[host], now)
	if len(m.times) > maxHostTimes {
		m.dropOldestTime()
	}
	var first, second int64
	for _, t := range m.times {
		if t > first {
			first, second = t, first
		} else if t > second {
			second = t
		}
	}
	if len(m.times) == 1 {
		second = first
	}
	m.agreed = max(m.agreed, second)
	m.expire()
}

func (m *Machine) dropOldestTime() {
	oldest := ""
	for host, t := range m.times {
		if oldest == "" || t < m.times[oldest] || t == m.times[oldest] && host < oldest {
			oldest = host
		}
	}
	delete(m.times, oldest)
}

func (m *Machine) expire() {
	for len(m.expiries) > 0 && m.expiries[0].at <= m.agreed {
		e := m.expiries[0]
		m.expiries = m.expiries[1:]
		if r := m.byAttempt[e.id]; r != nil && r.ExpiresMs == e.at {
			m.remove(r)
		}
	}
	for len(m.tombstoneExpiries) > 0 && (m.tombstoneExpiries[0].at <= m.agreed || len(m.tombstones) > maxTombstones) {
		delete(m.tombstones, m.tombstoneExpiries[0].id)
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
		// A repeated Begin of the attempt that holds the record is answered as
		// the first one, since the log may deliver a command twice.
		if r.Attempt == c.Attempt && r.FinishedMs == 0 {
			return &pb.Result{Outcome: pb.Result_CREATED, Record: r}
		}
		// The losing attempt is buried, so that a second delivery of this
		// command after the record's release does not create a record that
		// nobody runs.
		m.bury(c.Attempt)
		return &pb.Result{Outcome: pb.Result_EXISTS, Record: r}
	}
	if _, ok := m.tombstones[c.Attempt]; ok {
		return &pb.Result{Outcome: pb.Result_ABANDONED}
	}
	if m.byAttempt[c.Attempt] != nil {
		return &pb.Result{} // an attempt belongs to one key
	}
	if len(m.records) >= m.limit || m.perSpace[c.Workspace] >= max(1, m.limit/maxShare) {
		m.bury(c.Attempt)
		return &pb.Result{Outcome: pb.Result_FULL}
	}
	r := &pb.Record{
		Workspace: c.Workspace, KeyDigest: c.KeyDigest, BodyDigest: c.BodyDigest, Attempt: c.Attempt,
		Host: host, DataCentre: c.DataCentre, BegunMs: m.agreed,
	}
	m.insert(r)
	m.renew(r)
	return &pb.Result{Outcome: pb.Result_CREATED, Record: r}
}

func (m *Machine) insert(r *pb.Record) {
	m.records[string(r.KeyDigest)] = r
	m.byAttempt[r.Attempt] = r
	m.perSpace[r.Workspace]++
}

func (m *Machine) renew(r *pb.Record) {
	r.ExpiresMs = m.agreed + Retention.Milliseconds()
	m.expiries = append(m.expiries, expiry{r.ExpiresMs, r.Attempt})
}

func (m *Machine) remove(r *pb.Record) {
	delete(m.records, string(r.KeyDigest))
	delete(m.byAttempt, r.Attempt)
	if m.perSpace[r.Workspace]--; m.perSpace[r.Workspace] == 0 {
		delete(m.perSpace, r.Workspace)
	}
}

func (m *Machine) finish(c *pb.Finish) *pb.Result {
	r := m.byAttempt[c.GetAttempt()]
	if r == nil {
		return &pb.Result{Outcome: pb.Result_ABSENT}
	}
	if r.FinishedMs == 0 {
		r.FinishedMs = max(1, m.agreed)
		r.Status, r.AnswerDigest, r.Holders = c.Status, c.AnswerDigest, c.Holders
		m.renew(r)
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
	m.bury(c.GetAttempt())
	return &pb.Result{Outcome: pb.Result_DONE}
}

// bury remembers an attempt that must never hold a record. The attempt that
// holds one is left alone.
func (m *Machine) bury(id string) {
	if _, ok := m.tombstones[id]; ok || id == "" || m.byAttempt[id] != nil {
		return
	}
	at := m.agreed + tombstoneRetention.Milliseconds()
	m.tombstones[id] = at
	m.tombstoneExpiries = append(m.tombstoneExpiries, expiry{at, id})
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

// Snapshot implements control.Machine. Equal tables give equal bytes.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := &pb.State{AgreedMs: m.agreed}
	for _, r := range m.records {
		s.Records = append(s.Records, r)
	}
	slices.SortFunc(s.Records, func(a, b *pb.Record) int {
		return cmp.Or(cmp.Compare(a.ExpiresMs, b.ExpiresMs), cmp.Compare(a.Attempt, b.Attempt))
	})
	for _, e := range m.tombstoneExpiries {
		s.Tombstones = append(s.Tombstones, &pb.Tombstone{Attempt: e.id, ExpiresMs: e.at})
	}
	for _, host := range slices.Sorted(maps.Keys(m.times)) {
		s.Times = append(s.Times, &pb.HostTime{Host: host, NowMs: m.times[host]})
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
	m.agreed = s.AgreedMs
	for _, r := range s.Records {
		m.insert(r)
		m.expiries = append(m.expiries, expiry{r.ExpiresMs, r.Attempt})
	}
	for _, t := range s.Tombstones {
		m.tombstones[t.Attempt] = t.ExpiresMs
		m.tombstoneExpiries = append(m.tombstoneExpiries, expiry{t.ExpiresMs, t.Attempt})
	}
	for _, t := range s.Times {
		m.times[t.Host] = t.NowMs
	}
	return nil
}
