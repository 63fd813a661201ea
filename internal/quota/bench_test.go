package quota

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"geraniumturn.example/geraniumturn/internal/quota/quotapb"
)

// servingHost returns a host that holds floor shares of all workspaces, and a time
// at which their buckets are full.
func servingHost(workspaces int) (*Host, []string, time.Duration) {
	members := []Member{{"a", "dc1"}, {"b", "dc2"}, {"c", "dc3"}}
	h := NewHost("a", "dc1", 1, 0)
	names := make([]string, workspaces)
	var records []*quotapb.Record
	for i := range names {
		names[i] = fmt.Sprintf("workspace-%d", i)
		records = append(records, &quotapb.Record{Workspace: names[i], Epoch: 1, Changed: 1,
			Settled: Allocate(Workspace{Name: names[i], Rate: 20_000_000, Burst: 80_000_000}, members)})
	}
	h.Apply(0, 1, records)
	return h, names, time.Minute
}

// Measures the time and memory allocations of one Reserve and Settle by the number
// of workspaces: go test ./internal/quota -run XXX -bench .
func BenchmarkReserveSettle(b *testing.B) {
	for _, workspaces := range []int{5, 2400} {
		b.Run(fmt.Sprint(workspaces), func(b *testing.B) {
			h, names, now := servingHost(workspaces)
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				now += 10 * time.Microsecond
				r, _, refused := h.Reserve(now, names[i%workspaces], 100*TokenUnit)
				if refused != nil {
					b.Fatal(refused)
				}
				if r != nil {
					h.Settle(now, r, 50*TokenUnit)
				}
				h.TakeMessages()
				i++
			}
		})
	}
}

// Measures the time of one Tick while all workspaces are active.
func BenchmarkTick(b *testing.B) {
	for _, workspaces := range []int{5, 2400} {
		b.Run(fmt.Sprint(workspaces), func(b *testing.B) {
			h, names, now := servingHost(workspaces)
			for _, name := range names {
				h.Reserve(now, name, TokenUnit)
			}
			for b.Loop() {
				now += time.Microsecond
				h.Tick(now)
				h.TakeMessages()
			}
		})
	}
}

// Measures the bytes per workspace for an idle workspace with an allocation, and
// the additional bytes for an active one.
func BenchmarkMemory(b *testing.B) {
	const workspaces = 2400
	for b.Loop() {
		before := heapBytes()
		h, names, now := servingHost(workspaces)
		h.Tick(now)
		h.Tick(now + time.Hour)
		idle := heapBytes()
		for _, name := range names {
			r, _, _ := h.Reserve(now+time.Hour, name, TokenUnit)
			if r == nil {
				b.Fatal("the reservation was not granted at once")
			}
		}
		served := heapBytes()
		b.ReportMetric(float64(idle-before)/workspaces, "B/known")
		b.ReportMetric(float64(served-idle)/workspaces, "B/served")
		runtime.KeepAlive(h)
	}
}

func heapBytes() int64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return int64(s.HeapAlloc)
}

// Measures messages and payload bytes per second and host by the numbers of hosts
// and workspaces, with demand spread over all hosts at 90 % of all rates.
func BenchmarkMessages(b *testing.B) {
	for _, size := range []struct{ centres, perCentre, workspaces int }{{3, 1, 5}, {10, 2, 5}, {10, 4, 5}, {10, 2, 50}} {
		b.Run(fmt.Sprintf("hosts=%d/workspaces=%d", size.centres*size.perCentre, size.workspaces), func(b *testing.B) {
			for b.Loop() {
				t := messageTrial(size.centres, size.perCentre, size.workspaces)
				seconds := 20 * float64(size.centres*size.perCentre)
				b.ReportMetric(float64(t.sim.messages)/seconds, "messages/s/host")
				b.ReportMetric(float64(t.sim.bytes)/seconds, "B/s/host")
			}
		})
	}
}

func messageTrial(centres, perCentre, workspaces int) *trial {
	t := newTrial(1, manyCentres(centres, perCentre), "distributed")
	t.sim.workspaces, t.bounds = nil, map[string]*idealBucket{}
	for i := range workspaces {
		ws := Workspace{Name: fmt.Sprintf("w%d", i), Rate: 2000, Burst: 8000}
		t.sim.workspaces = append(t.sim.workspaces, ws)
		share := Share{ws.Rate * TokenUnit, ws.Burst * TokenUnit}
		t.bounds[ws.Name] = &idealBucket{share: share, level: float64(share.Burst)}
	}
	t.arrivalCentre = func(time.Duration) string { return "" }
	t.start()
	t.sim.run(10 * time.Second)
	t.sim.messages, t.sim.bytes = 0, 0
	t.sim.run(30 * time.Second)
	return t
}
