package targets

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"geraniumturn.example/geraniumturn/internal/targets/targetspb"
)

// Guards against unbounded growth of the table and of the prefix indexes.
func TestBoundedMemory(t *testing.T) {
	table, now := NewTable("host", "here"), time.Unix(1000, 0)
	for i := range MaxTargets + 10 {
		a := announcement(fmt.Sprint("t", i), fields{})
		_, err := table.Announce(now, a)
		if full := errors.Is(err, ErrFull); full != (i >= MaxTargets) {
			t.Fatalf("target %d: %v", i, err)
		}
		e := &CacheEvent{Target: a.Name, Incarnation: 1, Sequence: 1}
		for k := range 3000 {
			e.Stored = append(e.Stored, Prefix(i*10_000+k))
		}
		_ = table.ApplyCacheEvent(e)
	}
	e := &CacheEvent{Target: "t5", Incarnation: 1, Sequence: 2}
	for k := range 3000 {
		e.Stored = append(e.Stored, Prefix(k))
	}
	if err := table.ApplyCacheEvent(e); err != nil {
		t.Fatal(err)
	}
	if n := len(table.targets["t5"].cache.ring); n > table.indexLimit() {
		t.Errorf("one index holds %d prefixes, the bound is %d", n, table.indexLimit())
	}
	total := 0
	for _, r := range table.targets {
		total += len(r.cache.ring)
	}
	if total > maxTotalIndexBlocks {
		t.Errorf("the indexes hold %d prefixes, the bound is %d", total, maxTotalIndexBlocks)
	}
	if _, err := table.Announce(now.Add(forgetAfter), announcement("later", fields{})); err != nil {
		t.Errorf("target refused although all others have expired: %v", err)
	}
}

type singlePeer struct{ host string }

func (p singlePeer) Local() []string    { return []string{p.host} }
func (p singlePeer) In(string) []string { return nil }

// Guards against new requests on a leased target, from this host or another, and
// against two hosts that lease a target at the same time and both get it.
func TestLease(t *testing.T) {
	now := time.Unix(1000, 0)
	a, b := NewTable("a", "here"), NewTable("b", "here")
	toB, toA := NewRelay(a, singlePeer{"b"}), NewRelay(b, singlePeer{"a"})
	announced := announcement("t1", fields{"seq": "100"})
	exchange := func() {
		now = now.Add(BatchInterval)
		announced.Sequence++
		if _, err := a.Announce(now, announced); err != nil {
			t.Fatal(err)
		}
		for _, m := range toB.Tick(now) {
			response, err := b.Receive(now, "a", m.Request)
			if err != nil {
				t.Fatal(err)
			}
			toB.Done(now, m, response)
		}
		for _, m := range toA.Tick(now) {
			response, err := a.Receive(now, "b", m.Request)
			if err != nil {
				t.Fatal(err)
			}
			toA.Done(now, m, response)
		}
	}
	if _, err := a.Announce(now, announced); err != nil {
		t.Fatal(err)
	}
	toB.QueueUrgent(&announced)
	exchange()
	q := &Query{Pool: "pool", Model: "model"}
	b.Begin(now, "t1", 1, 0, nil)
	leaseA, errA := a.Lease(now, q, time.Minute)
	leaseB, errB := b.Lease(now, q, time.Minute)
	if errA != nil || errB != nil {
		t.Fatal(errA, errB)
	}
	exchange()
	if leaseA.Exclusive(now) || leaseB.Exclusive(now) {
		t.Error("lease is exclusive although host b runs a request")
	}
	b.End(now, "t1", 1, Succeeded, false)
	exchange()
	if !leaseA.Exclusive(now) || leaseB.Exclusive(now) {
		t.Error("with concurrent leases, only that of the host with the lower name may be exclusive")
	}
	if n := len(a.Candidates(nil, now, q)) + len(b.Candidates(nil, now, q)); n != 0 {
		t.Error("a leased target is a candidate")
	}
	leaseA.Release()
	leaseB.Release()
	exchange()
	if len(a.Candidates(nil, now, q)) != 1 || len(b.Candidates(nil, now, q)) != 1 {
		t.Error("a released target is not a candidate")
	}
}

// Guards against two hosts that lease a target at the same time and use it before they
// hear of each other: in each order of messages that are lost, overtake each other or have
// not arrived, at most one lease is exclusive, and one is in the end.
func TestConcurrentLeasesBeforeTheyAreKnown(t *testing.T) {
	for seed := range uint64(500) {
		random := rand.New(rand.NewPCG(seed, 0))
		now := time.Unix(1000, 0)
		hosts := []*leaseHost{newLeaseHost("a", "b"), newLeaseHost("b", "a")}
		for _, h := range hosts {
			if _, err := h.table.Announce(now, announcement("t1", fields{"seq": "100"})); err != nil {
				t.Fatal(err)
			}
			h.send(now) // knows its peer from then on
		}
		hosts[0].peer, hosts[1].peer = hosts[1], hosts[0]
		for range 40 {
			now = now.Add(time.Duration(random.IntN(50)) * time.Millisecond)
			h := hosts[random.IntN(2)]
			if h.lease == nil {
				h.lease, _ = h.table.Lease(now, &Query{Pool: "pool", Model: "model"}, time.Minute)
				h.relay.ForceBatch()
			}
			h.step(t, now, random)
			if hosts[0].exclusive(now) && hosts[1].exclusive(now) {
				t.Fatalf("seed %d: both hosts have the target for themselves", seed)
			}
		}
		for _, h := range []*leaseHost{hosts[0], hosts[1], hosts[0], hosts[1]} {
			for h.deliver(t, now, false) || h.send(now.Add(2*BatchInterval)) {
				continue
			}
		}
		if !hosts[0].exclusive(now) && !hosts[1].exclusive(now) {
			t.Fatalf("seed %d: no host has the target after all messages have arrived", seed)
		}
	}
}

// leaseHost is a host that wants a lease, with its messages on their way to its peer.
type leaseHost struct {
	name  string
	table *Table
	relay *Relay
	lease *Lease
	peer  *leaseHost
	sent  []Message
	// answers are the responses that have not arrived yet, by index those of answered.
	answered []Message
	answers  []*targetspb.RelayResponse
}

func newLeaseHost(name, peer string) *leaseHost {
	table := NewTable(name, "here")
	return &leaseHost{name: name, table: table, relay: NewRelay(table, singlePeer{peer})}
}

func (h *leaseHost) exclusive(now time.Time) bool { return h.lease != nil && h.lease.Exclusive(now) }

// step moves one message of the host forward.
func (h *leaseHost) step(t *testing.T, now time.Time, random *rand.Rand) {
	if random.IntN(2) == 0 && h.send(now) {
		return
	}
	h.deliver(t, now, random.IntN(5) == 0)
}

func (h *leaseHost) send(now time.Time) bool {
	messages := h.relay.Tick(now)
	h.sent = append(h.sent, messages...)
	return len(messages) > 0
}

// deliver lets the oldest response or request arrive, or be lost.
func (h *leaseHost) deliver(t *testing.T, now time.Time, lost bool) bool {
	if len(h.answers) > 0 {
		m, answer := h.answered[0], h.answers[0]
		h.answered, h.answers = h.answered[1:], h.answers[1:]
		if lost {
			answer = nil
		}
		h.relay.Done(now, m, answer)
		return true
	}
	if len(h.sent) == 0 {
		return false
	}
	m := h.sent[0]
	h.sent = h.sent[1:]
	if lost {
		h.relay.Done(now, m, nil)
		return true
	}
	answer, err := h.peer.table.Receive(now, h.name, m.Request)
	if err != nil {
		t.Fatal(err)
	}
	h.answered, h.answers = append(h.answered, m), append(h.answers, answer)
	return true
}

// Guards against waiters that are not woken when a request ends.
func TestChangedAfterEnd(t *testing.T) {
	table, now := NewTable("host", "here"), time.Unix(1000, 0)
	if _, err := table.Announce(now, announcement("t1", fields{"slots": "1", "seq": "100"})); err != nil {
		t.Fatal(err)
	}
	q := &Query{Pool: "pool", Model: "model"}
	table.Begin(now, "t1", 1, 0, nil)
	if c := table.Capacity(now, q); c.Room != 0 {
		t.Fatalf("room is %d", c.Room)
	}
	changed := table.Changed()
	table.End(now, "t1", 1, Succeeded, false)
	select {
	case <-changed:
	default:
		t.Error("the end of a request does not wake waiters")
	}
	if c := table.Capacity(now, q); c.Room != 1 {
		t.Errorf("room is %d", c.Room)
	}
}

// Guards against a host that lacks announcements of the others for longer than 3 s
// after a partition during which it missed them, or after its restart.
func TestMissedRelayIsRepaired(t *testing.T) {
	now := time.Unix(1000, 0)
	a, b := NewTable("a", "here"), NewTable("b", "here")
	relay := NewRelay(a, singlePeer{"b"})
	sequence, partitioned := 0, false
	step := func(n int) {
		now = now.Add(100 * time.Millisecond)
		if n%10 == 0 {
			sequence++
			announced := announcement("t1", fields{"seq": fmt.Sprint(sequence), "slots": fmt.Sprint(1 + sequence/5)})
			urgent, err := a.Announce(now, announced)
			if err != nil {
				t.Fatal(err)
			}
			if urgent && !partitioned { // changes during the partition are repaired after a digest mismatch
				relay.QueueUrgent(&announced)
			}
		}
		for _, m := range relay.Tick(now) {
			if partitioned {
				relay.Done(now, m, nil)
				continue
			}
			response, err := b.Receive(now, "a", m.Request)
			if err != nil {
				t.Fatal(err)
			}
			relay.Done(now, m, response)
		}
	}
	check := func(what string) {
		t.Helper()
		for n := range 30 {
			step(n + 1)
		}
		want, _ := a.Get("t1")
		if got, ok := b.Get("t1"); !ok || got.Slots != want.Slots || now.Sub(got.LastHeard) > SilenceLimit {
			t.Errorf("3 s after %s, host b has %+v", what, got.Announcement)
		}
	}
	check("the start")
	partitioned = true
	for n := range 100 {
		step(n)
	}
	partitioned = false
	check("the partition")
	b = NewTable("b", "here")
	check("the restart of b")
}

// Guards against an odd announcement, from a target or in a relay message, that replaces
// the entry of a sound target or keeps the other announcements of the message away.
func TestOddAnnouncementsAreRefused(t *testing.T) {
	const good = `{"name":"t1","incarnation":1,"sequence":9,"address":"127.0.0.1:9","pool":"p","data_centre":"here","slots":4}`
	deep := strings.Repeat("[", 12_000) + strings.Repeat("]", 12_000)
	for name, odd := range map[string]string{
		"nested deeply":              deep,
		"field nested deeply":        strings.Replace(good, `"slots":4`, `"slots":4,"more":`+deep, 1),
		"models nested":              strings.Replace(good, `"slots":4`, `"slots":4,"models":`+deep, 1),
		"port out of range":          strings.Replace(good, ":9\"", ":99999\"", 1),
		"negative port":              strings.Replace(good, ":9\"", ":-9\"", 1),
		"port 0":                     strings.Replace(good, ":9\"", ":0\"", 1),
		"no port":                    strings.Replace(good, ":9\"", "\"", 1),
		"slots out of range":         strings.Replace(good, `"slots":4`, `"slots":9000000000000000000`, 1),
		"slots beyond an integer":    strings.Replace(good, `"slots":4`, `"slots":1e30`, 1),
		"negative slots":             strings.Replace(good, `"slots":4`, `"slots":-4`, 1),
		"lag out of range":           strings.Replace(good, `"slots":4`, `"slots":4,"lag_ms":9223372036854775807`, 1),
		"memory out of range":        strings.Replace(good, `"slots":4`, `"slots":4,"free_kv_tokens":9223372036854775807`, 1),
		"sequence beyond an integer": strings.Replace(good, `"sequence":9`, `"sequence":99999999999999999999`, 1),
		"fractional incarnation":     strings.Replace(good, `"incarnation":1`, `"incarnation":1.5`, 1),
		"name not UTF-8":             strings.Replace(good, `"t1"`, "\"t\xff\"", 1),
		"name without end":           strings.Replace(good, `"t1"`, `"`+strings.Repeat("x", 100_000)+`"`, 1),
		"bytes":                      "\x00\xff",
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := DecodeAnnouncement([]byte(odd)); !errors.Is(err, ErrInvalid) {
				t.Errorf("error %v, want ErrInvalid", err)
			}
			table, now := NewTable("host", "here"), time.Unix(1000, 0)
			m := &targetspb.RelayRequest{}
			for _, a := range []string{odd, good, odd, strings.Replace(good, "t1", "t2", 1), odd} {
				m.Reports = append(m.Reports, &targetspb.Report{Announcement: []byte(a)})
			}
			if _, err := table.Receive(now, "other", m); !errors.Is(err, ErrInvalid) {
				t.Errorf("relay: error %v, want ErrInvalid", err)
			}
			var names []string
			for _, known := range table.All() {
				names = append(names, known.Name)
				if known.Address != "127.0.0.1:9" || known.Slots != 4 || known.Sequence != 9 {
					t.Errorf("%+v", known.Announcement)
				}
			}
			if slices.Sort(names); !slices.Equal(names, []string{"t1", "t2"}) {
				t.Errorf("targets %q", names)
			}
		})
	}
}

// Guards against one announcement of another sender, under the name of a target and with a
// later incarnation, after which what the target itself announces does not count any more.
// KNOWN-RED.txt lists it.
func TestAnnouncementOfAnotherSender(t *testing.T) {
	table, now := NewTable("host", "here"), time.Unix(1000, 0)
	own := announcement("t1", fields{"inc": "5", "seq": "100"})
	announce := func() {
		own.Sequence++
		now = now.Add(AnnounceInterval)
		_, _ = table.Announce(now, own) // the entry is looked at
	}
	for range 3 {
		announce()
	}
	other := announcement("t1", fields{})
	other.Incarnation, other.Address = 1<<60, "127.0.0.1:9"
	if _, err := table.Announce(now, other); err != nil {
		t.Fatal(err)
	}
	for range 10 {
		announce()
	}
	if got, _ := table.Get("t1"); got.Address != own.Address || now.Sub(got.LastHeard) >= SilenceLimit {
		t.Errorf("address %s, incarnation %d, silent for %v", got.Address, got.Incarnation, now.Sub(got.LastHeard))
	}
}
