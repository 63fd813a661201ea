package routing

import (
	"context"
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"geraniumturn.example/geraniumturn/internal/dispatch"
	"geraniumturn.example/geraniumturn/internal/routing/routingpb"
	"geraniumturn.example/geraniumturn/internal/rules"
	"geraniumturn.example/geraniumturn/internal/targets"
)

func benchTable(b *testing.B, now time.Time, n, models int) *targets.Table {
	b.Helper()
	table := targets.NewTable("h", "dc0")
	for i := range n {
		name := fmt.Sprintf("target-%04d", i)
		a := targets.Announcement{Name: name, Incarnation: 1, Sequence: 100, Address: "127.0.0.1:9", Pool: "pool",
			DataCentre: "dc0", Models: []string{fmt.Sprint("model-", i%models)}, Slots: 8, Running: i % 8}
		if _, err := table.Announce(now, a); err != nil {
			b.Fatal(err)
		}
		e := &targets.CacheEvent{Target: name, Incarnation: 1, Sequence: 1}
		for k := range 100 {
			e.Stored = append(e.Stored, targets.Prefix(k*1000+i%7))
		}
		if err := table.ApplyCacheEvent(e); err != nil {
			b.Fatal(err)
		}
	}
	return table
}

// BenchmarkChoose measures one routing decision with the begin and end of its attempt.
// All targets serve the model, which is the most expensive case.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{10, 600} {
		for _, dcs := range []int{3, 10} {
			b.Run(fmt.Sprintf("targets=%d/datacentres=%d", n, dcs), func(b *testing.B) {
				now := time.Now()
				table := benchTable(b, now, n, 1)
				r := New(Config{Host: "h", DataCentre: "dc0", Region: "r", Table: table, Seed: 1, Now: func() time.Time { return now },
					Hosts: HostsFunc(func() []RemoteHost { return benchHosts(dcs) })})
				rows := appendRow(nil, serviceKeyOf("pool", "model-0"), Row{Room: 10, Service: time.Second})
				for _, call := range r.PrepareSummaryCalls() {
					if err := r.CompleteSummaryCall(call, &routingpb.SummaryResponse{Rows: rows}); err != nil {
						b.Fatal(err)
					}
				}
				req := &dispatch.Request{ID: "r", Pool: "pool", Model: "model-0", Kind: rules.Engine, Reach: rules.ReachAny, Budget: 3,
					Idempotent: true, Visited: []string{"h"}, Body: make([]byte, 32<<10), Cost: 9000, Prefixes: make([]uint64, 32)}
				for i := range req.Prefixes {
					req.Prefixes[i] = uint64(i * 1000)
				}
				b.ReportAllocs()
				for b.Loop() {
					choice, err := r.Choose(context.Background(), req, dispatch.Tried{})
					if err != nil || choice.Target == nil {
						b.Fatal(choice, err)
					}
					r.AttemptBegins(req, choice.Target)
					r.AttemptEnded(dispatch.Outcome{Request: req, Target: choice.Target.Name, Incarnation: 1, Complete: true, Status: 200,
						Duration: time.Second, FirstByte: 100 * time.Millisecond})
				}
			})
		}
	}
}

func benchHosts(dcs int) []RemoteHost {
	var out []RemoteHost
	for d := 1; d < dcs; d++ {
		for h := range 4 {
			out = append(out, RemoteHost{Name: fmt.Sprintf("dc%d-h%d", d, h), DataCentre: fmt.Sprint("dc", d), Region: "r"})
		}
	}
	return out
}

// BenchmarkExchange measures one second of summary exchange on one host: it sends a
// summary request to each other data centre and serves as many requests. Bytes are those
// of the messages in both directions, without framing.
func BenchmarkExchange(b *testing.B) {
	for _, dcs := range []int{3, 10} {
		for _, models := range []int{1, 27} {
			b.Run(fmt.Sprintf("datacentres=%d/models=%d", dcs, models), func(b *testing.B) {
				table := benchTable(b, time.Now(), 60, models)
				now := time.Now()
				r := New(Config{Host: "h", DataCentre: "dc0", Region: "r", Table: table, Seed: 1, Now: func() time.Time { return now },
					Hosts: HostsFunc(func() []RemoteHost { return benchHosts(dcs) })})
				sent, received := 0, 0
				b.ReportAllocs()
				for b.Loop() {
					for i, call := range r.PrepareSummaryCalls() {
						response, err := r.BuildSummary(fmt.Sprint("host-", i), call.Request)
						if err != nil {
							b.Fatal(err)
						}
						if err := r.CompleteSummaryCall(call, response); err != nil {
							b.Fatal(err)
						}
						sent += proto.Size(call.Request) + proto.Size(response)
						received += proto.Size(call.Request) + proto.Size(response)
					}
				}
				b.ReportMetric(float64(sent)/float64(b.N), "sent-B/s")
				b.ReportMetric(float64(received)/float64(b.N), "received-B/s")
			})
		}
	}
}

type benchPeers []string

func (p benchPeers) Local() []string    { return p }
func (p benchPeers) In(string) []string { return nil }

// BenchmarkRelay measures one second of announcement relay on one host: its share of
// the targets announce themselves, and it sends a batch to each other host of the data
// centre and receives one from each.
func BenchmarkRelay(b *testing.B) {
	for _, hosts := range []int{2, 4, 8} {
		for _, n := range []int{10, 60, 600} {
			b.Run(fmt.Sprintf("hosts=%d/targets=%d", hosts, n), func(b *testing.B) { benchRelay(b, hosts, n) })
		}
	}
}

func benchRelay(b *testing.B, hosts, n int) {
	now := time.Now()
	tables, relays := make([]*targets.Table, hosts), make([]*targets.Relay, hosts)
	for h := range hosts {
		var peers benchPeers
		for other := range hosts {
			if other != h {
				peers = append(peers, fmt.Sprint(other))
			}
		}
		tables[h] = targets.NewTable(fmt.Sprint(h), "dc0")
		relays[h] = targets.NewRelay(tables[h], peers)
	}
	sequence, sent := uint64(0), 0
	runSecond := func() {
		sequence++
		now = now.Add(time.Second)
		for i := range n {
			a := targets.Announcement{Name: fmt.Sprintf("target-%04d", i), Incarnation: 1, Sequence: sequence, Address: "127.0.0.1:9",
				Pool: "pool", DataCentre: "dc0", Models: []string{"model"}, Slots: 8, Running: int(sequence+uint64(i)) % 8, FreeKVTokens: 100_000}
			if urgent, err := tables[i%hosts].Announce(now, a); err != nil {
				b.Fatal(err)
			} else if urgent {
				relays[i%hosts].QueueUrgent(&a)
			}
			for h := range hosts { // the in-flight count of each host changes by one
				if sequence%2 == 1 {
					tables[h].Begin(now, a.Name, 1, 0, nil)
				} else {
					tables[h].End(now, a.Name, 1, targets.Succeeded, false)
				}
			}
		}
		for h, r := range relays {
			for _, m := range r.Tick(now) {
				var to int
				if _, err := fmt.Sscan(m.Host, &to); err != nil {
					b.Fatal(err)
				}
				response, err := tables[to].Receive(now, fmt.Sprint(h), m.Request)
				if err != nil {
					b.Fatal(err)
				}
				sent += proto.Size(m.Request) + proto.Size(response)
				r.Done(now, m, response)
			}
		}
	}
	for range 8 {
		runSecond() // until all hosts know all targets
	}
	sent = 0
	b.ReportAllocs()
	for b.Loop() {
		runSecond()
	}
	b.ReportMetric(float64(sent)/float64(b.N)/float64(hosts), "sent-B/s/host")
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/float64(hosts), "us/s/host")
}
