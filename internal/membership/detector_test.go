package membership

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	pb "geraniumturn.example/geraniumturn/internal/membership/membershippb"
)

func testHost(name, dataCentre string) Host {
	return Host{Name: name, DataCentre: dataCentre, Region: dataCentre, Peer: name + "-settings", HTTP: name + "-http"}
}

// An address in a received record must not replace one from the settings, and the draining
// state in the record must be stored.
func TestSettingsAddressTakesPrecedence(t *testing.T) {
	d := NewDetector(testHost("a", "x"), []Host{testHost("b", "x")}, 1)
	received := func(name string) *pb.Record {
		return &pb.Record{Name: name, DataCentre: "x", Peer: name + "-heard", Http: name + "-heard", Incarnation: 9, Draining: true}
	}
	d.Receive(0, &pb.Message{Kind: pb.Kind_ACK, Sender: received("b"), Records: []*pb.Record{received("c")}})
	hosts := d.Hosts()
	if b := hosts[1]; b.Peer != "b-settings" || !b.Draining {
		t.Errorf("got %+v", b)
	}
	if c := hosts[2]; c.Peer != "c-heard" {
		t.Errorf("got %+v", c)
	}
}

// A host must refute a record that says it is dead.
func TestRefutesOwnDeath(t *testing.T) {
	d := NewDetector(testHost("a", "x"), []Host{testHost("b", "x")}, 1)
	dead := &pb.Record{Name: "a", DataCentre: "x", Incarnation: 5, Status: pb.Status_DEAD}
	out := d.Receive(0, &pb.Message{Kind: pb.Kind_PING, Sender: recordOf(testHost("b", "x")), Records: []*pb.Record{dead}})
	if len(out) == 0 || out[0].Message.Sender.Incarnation != 6 || out[0].Message.Sender.Status != pb.Status_ALIVE {
		t.Errorf("got %+v", out)
	}
}

// A host must not be suspected because the link to one other host is broken.
func TestIndirectProbesPreventSuspicion(t *testing.T) {
	s := newSim(t, 1, 5, 1)
	s.run(20 * time.Second)
	a, b := s.hosts[1], s.hosts[3]
	s.cutLinks[a.Name+"|"+b.Name], s.cutLinks[b.Name+"|"+a.Name] = true, true
	for range 600 {
		s.run(s.now + 100*time.Millisecond)
		for _, h := range s.hosts {
			for _, o := range h.detector.Hosts() {
				if o.Suspect || o.Dead {
					s.fatalf("%s has the record %+v", h.Name, o)
				}
			}
		}
	}
}

// A host that was itself paused during a suspicion must not mark the suspected host dead
// right after the pause. A refutation that arrives then must end the suspicion.
func TestPauseExtendsSuspicions(t *testing.T) {
	d := NewDetector(testHost("a", "x"), []Host{testHost("b", "x"), testHost("c", "x")}, 1)
	now := time.Duration(0)
	for ; !d.Hosts()[1].Suspect && now < time.Minute; now += 100 * time.Millisecond {
		d.Tick(now) // nobody answers
	}
	now += 10 * time.Second
	d.Tick(now)
	if b := d.Hosts()[1]; !b.Suspect || b.Dead {
		t.Errorf("after the pause: %+v", b)
	}
	refuted := recordOf(testHost("b", "x"))
	refuted.Incarnation = 1
	d.Receive(now, &pb.Message{Kind: pb.Kind_PING, Sender: refuted})
	if b := d.Hosts()[1]; b.Suspect || b.Dead {
		t.Errorf("after the refutation: %+v", b)
	}
}

// Member tables that differ must be synchronised, even if the updates are no longer queued.
func TestDifferingTablesAreSynchronised(t *testing.T) {
	a := NewDetector(testHost("a", "x"), []Host{testHost("b", "x")}, 1)
	b := NewDetector(testHost("b", "x"), []Host{testHost("a", "x")}, 1)
	a.merge(0, &pb.Record{Name: "z", DataCentre: "y", Incarnation: 3})
	clear(a.updates)
	b.lastSync = 0
	for _, reply := range b.Receive(time.Minute, a.ping("b").Message) {
		for _, response := range a.Receive(time.Minute, reply.Message) {
			b.Receive(time.Minute, response.Message)
		}
	}
	if len(b.Hosts()) != 3 || a.digest != b.digest {
		t.Errorf("hosts of b: %+v", b.Hosts())
	}
}

// The size of a message must not grow with the number of updates, and all updates must be
// sent in the end.
func TestMessagesAreBounded(t *testing.T) {
	d := NewDetector(testHost("a", "x"), []Host{testHost("b", "x")}, 1)
	for i := range 300 {
		d.merge(0, recordOf(testHost(fmt.Sprintf("host-with-a-long-name-%d", i), "data-centre")))
	}
	sent := map[string]bool{}
	for range 100 {
		m := d.messageWithUpdates(pb.Kind_PING, "b")
		if size := proto.Size(m); len(m.Records) > maxRecords || size > maxRecordBytes+300 {
			t.Fatalf("%d records, %d bytes", len(m.Records), size)
		}
		for _, r := range m.Records {
			sent[r.Name] = true
		}
	}
	if len(sent) < 300 {
		t.Errorf("only %d of 300 changes were sent", len(sent))
	}
}

// No message may crash a host or make it mark itself suspected or dead.
func FuzzReceive(f *testing.F) {
	for _, kind := range []pb.Kind{pb.Kind_PING, pb.Kind_ACK, pb.Kind_PING_REQ, pb.Kind_SYNC, pb.Kind_SYNC_REPLY} {
		data, err := proto.Marshal(&pb.Message{Kind: kind, Sequence: 1, Target: "b", Sender: recordOf(testHost("c", "y")),
			Records: []*pb.Record{{Name: "a", DataCentre: "x", Incarnation: 1 << 62, Status: pb.Status_DEAD}}})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var in pb.Message
		if proto.Unmarshal(data, &in) != nil {
			return
		}
		d := NewDetector(testHost("a", "x"), []Host{testHost("b", "x"), testHost("d", "y")}, 1)
		for i := range 3 {
			now := time.Duration(i) * time.Second
			for _, s := range append(d.Tick(now), d.Receive(now, &in)...) {
				if _, err := proto.Marshal(s.Message); err != nil {
					t.Errorf("cannot encode the response: %v", err)
				}
			}
			d.SendFailed(in.Sequence)
		}
		if h := d.Hosts(); h[0].Name == "a" && (h[0].Dead || h[0].Suspect) {
			t.Error("the host marks itself suspected or dead")
		}
	})
}

var (
	trafficHosts       = flag.Int("traffic.hosts", 0, "measure the traffic of this many hosts only")
	trafficDataCentres = flag.Int("traffic.places", 4, "number of data centres")
	trafficWarmUp      = flag.Duration("traffic.warmup", time.Minute, "time before the measurement")
)

// The traffic of a host without changes must not grow with the number of hosts, so that it
// stays within the budget of 5 KB/s per host. Run it with -v for the figures.
func TestTrafficAtRest(t *testing.T) {
	sizes := []int{4, 8, 16, 32, 64}
	if *trafficHosts > 0 {
		sizes = []int{*trafficHosts}
	}
	for _, hosts := range sizes {
		s := newSim(t, 1, hosts, *trafficDataCentres)
		s.run(*trafficWarmUp) // until the updates of the simultaneous start have spread
		before := s.bytes
		const measured = 40 * time.Second
		s.run(s.now + measured)
		perHost := float64(s.bytes-before) / float64(hosts) / measured.Seconds()
		t.Logf("%d hosts in %d data centres: %.0f bytes/s per host", hosts, *trafficDataCentres, perHost)
		if perHost > 500 {
			t.Errorf("%d hosts: %.0f bytes/s per host", hosts, perHost)
		}
	}
}

// BenchmarkTick measures the CPU time of one tick with 410 hosts, the largest planned
// fleet. A host runs 10 ticks per second.
func BenchmarkTick(b *testing.B) {
	var hosts []Host
	for i := range 410 {
		hosts = append(hosts, testHost(fmt.Sprintf("h%d", i), fmt.Sprintf("dc%d", i%10)))
	}
	d := NewDetector(hosts[0], hosts[1:], 1)
	now := time.Duration(0)
	for b.Loop() {
		now += 100 * time.Millisecond
		for _, s := range d.Tick(now) {
			if s.Message.Kind == pb.Kind_PING {
				ack := &pb.Message{Kind: pb.Kind_ACK, Sequence: s.Message.Sequence, Target: s.To, Sender: d.members[s.To].record, Table: d.digest}
				d.Receive(now, ack)
			}
		}
	}
}
