package membership

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	pb "geraniumturn.example/geraniumturn/internal/membership/membershippb"
)

func member1(name, place string) Host {
	return Host{Name: name, DataCentre: place, Region: place, Peer: name + "-settings", HTTP: name + "-http"}
}

// Guards against an address heard from another host that replaces one from the
// settings, and against a draining mark that is lost.
func TestSettingsAddressWins(t *testing.T) {
	d := NewDetector(member1("a", "x"), []Host{member1("b", "x")}, 1)
	heard := func(name string) *pb.Record {
		return &pb.Record{Name: name, DataCentre: "x", Peer: name + "-heard", Http: name + "-heard", Incarnation: 9, Draining: true}
	}
	d.Receive(0, &pb.Message{Kind: pb.Kind_ACK, Sender: heard("b"), Records: []*pb.Record{heard("c")}})
	hosts := d.Hosts()
	if b := hosts[1]; b.Peer != "b-settings" || !b.Draining {
		t.Errorf("got %+v", b)
	}
	if c := hosts[2]; c.Peer != "c-heard" {
		t.Errorf("got %+v", c)
	}
}

// Guards against a host that does not contradict news of its own death.
func TestRefutes(t *testing.T) {
	d := NewDetector(member1("a", "x"), []Host{member1("b", "x")}, 1)
	dead := &pb.Record{Name: "a", DataCentre: "x", Incarnation: 5, Status: pb.Status_DEAD}
	out := d.Receive(0, &pb.Message{Kind: pb.Kind_PING, Sender: recordOf(member1("b", "x")), Records: []*pb.Record{dead}})
	if len(out) == 0 || out[0].Message.Sender.Incarnation != 6 || out[0].Message.Sender.Status != pb.Status_ALIVE {
		t.Errorf("got %+v", out)
	}
}

// Guards against a host that is suspected because one link to it is broken.
func TestIndirectProbesPreventSuspicion(t *testing.T) {
	s := newSim(t, 1, 5, 1)
	s.run(20 * time.Second)
	a, b := s.hosts[1], s.hosts[3]
	s.cut[a.Name+"|"+b.Name], s.cut[b.Name+"|"+a.Name] = true, true
	for range 600 {
		s.run(s.now + 100*time.Millisecond)
		for _, h := range s.hosts {
			for _, o := range h.detector.Hosts() {
				if o.Suspect || o.Dead {
					s.fatalf("%s holds %+v", h.Name, o)
				}
			}
		}
	}
}

// Guards against a host that was paused itself and declares others dead at once.
func TestPauseIsForgiven(t *testing.T) {
	d := NewDetector(member1("a", "x"), []Host{member1("b", "x"), member1("c", "x")}, 1)
	now := time.Duration(0)
	for ; !d.Hosts()[1].Suspect && now < time.Minute; now += 100 * time.Millisecond {
		d.Tick(now) // nobody answers
	}
	now += 10 * time.Second
	d.Tick(now)
	if b := d.Hosts()[1]; !b.Suspect || b.Dead {
		t.Errorf("after the pause: %+v", b)
	}
	refuted := recordOf(member1("b", "x"))
	refuted.Incarnation = 1
	d.Receive(now, &pb.Message{Kind: pb.Kind_PING, Sender: refuted})
	if b := d.Hosts()[1]; b.Suspect || b.Dead {
		t.Errorf("after the refutation: %+v", b)
	}
}

// Guards against tables that stay different when the news are no longer sent.
func TestTablesAreExchanged(t *testing.T) {
	a := NewDetector(member1("a", "x"), []Host{member1("b", "x")}, 1)
	b := NewDetector(member1("b", "x"), []Host{member1("a", "x")}, 1)
	a.merge(0, &pb.Record{Name: "z", DataCentre: "y", Incarnation: 3})
	clear(a.queue)
	b.lastSync = 0
	for _, reply := range b.Receive(time.Minute, a.ping("b").Message) {
		for _, again := range a.Receive(time.Minute, reply.Message) {
			b.Receive(time.Minute, again.Message)
		}
	}
	if len(b.Hosts()) != 3 || a.digest != b.digest {
		t.Errorf("b knows %+v", b.Hosts())
	}
}

// Guards against messages that grow with the number of changes.
func TestMessagesAreBounded(t *testing.T) {
	d := NewDetector(member1("a", "x"), []Host{member1("b", "x")}, 1)
	for i := range 300 {
		d.merge(0, recordOf(member1(fmt.Sprintf("host-with-a-long-name-%d", i), "data-centre")))
	}
	sent := map[string]bool{}
	for range 100 {
		m := d.message(pb.Kind_PING, "b")
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

// Guards against messages that crash a host or make it take itself for dead.
func FuzzReceive(f *testing.F) {
	for _, kind := range []pb.Kind{pb.Kind_PING, pb.Kind_ACK, pb.Kind_PING_REQ, pb.Kind_SYNC, pb.Kind_SYNC_REPLY} {
		data, err := proto.Marshal(&pb.Message{Kind: kind, Sequence: 1, Target: "b", Sender: recordOf(member1("c", "y")),
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
		d := NewDetector(member1("a", "x"), []Host{member1("b", "x"), member1("d", "y")}, 1)
		for i := range 3 {
			now := time.Duration(i) * time.Second
			for _, s := range append(d.Tick(now), d.Receive(now, &in)...) {
				if _, err := proto.Marshal(s.Message); err != nil {
					t.Errorf("answer cannot be encoded: %v", err)
				}
			}
			d.SendFailed(in.Sequence)
		}
		if h := d.Hosts(); h[0].Name == "a" && (h[0].Dead || h[0].Suspect) {
			t.Error("the host takes itself for dead")
		}
	})
}

var (
	trafficHosts  = flag.Int("traffic.hosts", 0, "measure the traffic of this many hosts only")
	trafficPlaces = flag.Int("traffic.places", 4, "number of data centres")
	trafficWarmUp = flag.Duration("traffic.warmup", time.Minute, "time before the measurement")
)

// Guards the budget of 5 KB/s per node: the bytes of a host must not grow with
// the fleet. Run it with -v for the figures.
func TestTrafficAtRest(t *testing.T) {
	sizes := []int{4, 8, 16, 32, 64}
	if *trafficHosts > 0 {
		sizes = []int{*trafficHosts}
	}
	for _, hosts := range sizes {
		s := newSim(t, 1, hosts, *trafficPlaces)
		s.run(*trafficWarmUp) // the news of the common start are spread
		before := s.bytes
		const measured = 40 * time.Second
		s.run(s.now + measured)
		perHost := float64(s.bytes-before) / float64(hosts) / measured.Seconds()
		t.Logf("%d hosts in %d data centres: %.0f bytes/s per host", hosts, *trafficPlaces, perHost)
		if perHost > 500 {
			t.Errorf("%d hosts: %.0f bytes/s per host", hosts, perHost)
		}
	}
}

// BenchmarkTick is the CPU of one tick at the target size; there are 10 a second.
func BenchmarkTick(b *testing.B) {
	var hosts []Host
	for i := range 410 {
		hosts = append(hosts, member1(fmt.Sprintf("h%d", i), fmt.Sprintf("dc%d", i%10)))
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
