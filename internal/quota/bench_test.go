package quota

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"geraniumturn.example/geraniumturn/internal/quota/quotapb"
)

// servingHost returns a holder of all workspaces whose buckets are full.
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

// Reports time and allocations of one reserve and settle by the number of
// workspaces: go test ./internal/quota -run XXX -bench .
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

// Reports the time of one tick when all workspaces are served.
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

// Reports bytes for each workspace that a host knows and serves, and for each
// that it only knows.
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
				b.Fatal("no tokens")
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

// Reports messages and payload bytes per second and host as the numbers of
// hosts and workspaces grow, with spread demand at 90 % of all rates.
func BenchmarkMessages(b *testing.B) {
	for _, size := range []struct{ centres, perCentre, workspaces int }{{3, 1, 5}, {10, 2, 5}, {10, 4, 5}, {10, 2, 50}} {
		b.Run(fmt.Sprintf("hosts=%d/workspaces=%d", size.centres*size.perCentre, size.workspaces), func(b *testing.B) {
			for b.Loop() {
				t := messageTrial(size.centres, size.perCentre, size.workspaces)
				seconds := 20 * float64(size.centres*size.perCentre)
				b.ReportMetric(float64(t.w.messages)/seconds, "messages/s/host")
				b.ReportMetric(float64(t.w.bytes)/seconds, "B/s/host")
			}
		})
	}
}

func messageTrial(centres, perCentre, workspaces int) *trial {
	t := newTrial(1, manyCentres(centres, perCentre), "ours")
	t.w.workspaces, t.bounds = nil, map[string]*idealBucket{}
	for i := range workspaces {
		ws := Workspace{Name: fmt.Sprintf("w%d", i), Rate: 2000, Burst: 8000}
		t.w.workspaces = append(t.w.workspaces, ws)
		share := Share{ws.Rate * TokenUnit, ws.Burst * TokenUnit}
		t.bounds[ws.Name] = &idealBucket{share: share, level: float64(share.Burst)}
	}
	t.centre = func(time.Duration) string { return "" }
	t.start()
	t.w.run(10 * time.Second)
	t.w.messages, t.w.bytes = 0, 0
	t.w.run(30 * time.Second)
	return t
}
