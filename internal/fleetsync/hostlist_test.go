package fleetsync

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"geraniumturn.example/geraniumturn/internal/fleetsync/syncpb"
)

// hostListTest is a control host with entry hosts of two regions, and the copy of one.
type hostListTest struct {
	t    *testing.T
	now  time.Duration
	s    *Server
	list hostList
	sent int // records in the last response
}

func newHostListTest(t *testing.T, perRegion int) *hostListTest {
	x := &hostListTest{t: t, now: time.Hour, s: &Server{Presence: NewPresence(), Incarnation: 1}, list: hostList{region: "r0"}}
	for i := range perRegion {
		x.report("r0", fmt.Sprint("a", i), 1, int64(i))
		x.report("r1", fmt.Sprint("b", i), 1, int64(i))
	}
	return x
}

func (x *hostListTest) report(region, name string, started, wait int64) {
	x.s.Presence.RecordEntry(x.now, &syncpb.EntryHost{Name: name, Region: region, Started: started, Serving: true, Loads: []*syncpb.Load{{Service: "s", WaitMs: wait}}}, true)
}

// update applies a response and returns the hosts by name.
func (x *hostListTest) update() map[string]*syncpb.EntryHost {
	in, out := &syncpb.ExchangeRequest{Host: &syncpb.EntryHost{Region: "r0"}, HostTable: x.list.table, HostCursor: x.list.cursor}, &syncpb.ExchangeResponse{}
	x.s.addHosts(x.now, in, out)
	x.sent = len(out.GetHosts())
	x.list.apply(out)
	hosts := map[string]*syncpb.EntryHost{}
	for _, h := range out.GetHosts() {
		hosts[h.GetName()] = h
	}
	return hosts
}

// Answers regions of 100 hosts that ask for each other twice a second: an unchanged list costs
// no record, and every host knows each age to a tenth of a second, never too late a time.
func TestHostListTellsChanges(t *testing.T) {
	x := newHostListTest(t, 100)
	if got := x.update(); len(got) != 100+hostsPerOtherRegion || x.sent != len(got) {
		t.Fatalf("%d hosts, %d records", len(got), x.sent)
	}
	x.now += 250 * time.Millisecond
	x.report("r0", "a1", 1, 5)
	x.now += 330 * time.Millisecond
	got := x.update()
	if x.sent != 0 || len(got) != 100+hostsPerOtherRegion {
		t.Errorf("%d hosts, %d records", len(got), x.sent)
	}
	for name, age := range map[string]int64{"a1": 330, "a2": 580, "b0": 580} {
		if told := got[name].GetHeardMs(); told < age || told > age+100 {
			t.Errorf("%s was heard %d ms ago, want %d", name, told, age)
		}
	}
	if wait := got["b3"].GetLoads()[0].GetWaitMs(); wait != 3 || got["b4"] != nil {
		t.Errorf("b3 has a wait of %d ms, b4 is %v", wait, got["b4"])
	}
}

// Guards against hosts that learn late of a restart, and against one that is listed after it
// was removed or that takes the place of another.
func TestHostListFollowsRestartsAndRemovals(t *testing.T) {
	x := newHostListTest(t, 3)
	x.update()
	x.now += 10 * time.Millisecond
	x.report("r0", "a1", 2, 5)
	if got := x.update(); x.sent != 1 || got["a1"].GetStarted() != 2 || got["a1"].GetHeardMs() > 100 {
		t.Errorf("%d records, a1 %v", x.sent, got["a1"])
	}
	for at := x.now + entryRetention + time.Second; x.now < at; x.now += time.Second {
		x.report("r0", "a0", 1, 5)
		x.report("r1", "b2", 1, 5)
	}
	got := x.update()
	if names := namesOf(got); !slices.Equal(names, []string{"a0", "b2"}) {
		t.Errorf("hosts %v", names)
	}
	x.report("r0", "new", 1, 5)
	x.now += time.Second
	if got = x.update(); got["new"].GetHeardMs() < 1000 || got["a0"].GetHeardMs() < 1000 || len(got) != 2 {
		t.Errorf("hosts %v", got)
	}
	x.now += time.Minute
	x.report("r0", "a0", 1, 5)
	x.s.Incarnation = 2 // another process answers, whose table is another one
	if got = x.update(); x.sent == 0 || len(got) != 1 {
		t.Errorf("%d records, hosts %v", x.sent, got)
	}
}

// Guards against a copy that has lost a change and keeps a wrong list.
func TestHostListThatDiffersIsToldAgain(t *testing.T) {
	x := newHostListTest(t, 3)
	x.update()
	delete(x.list.own, "a1")
	x.update()
	if got := x.update(); x.sent != 6 || len(got) != 6 {
		t.Errorf("%d records, %d hosts", x.sent, len(got))
	}
}

func namesOf(hosts map[string]*syncpb.EntryHost) []string {
	var names []string
	for name := range hosts {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Guards against a host that is left out of the division of limits while it may still send:
// its age is told as long as it is listed, never younger than it is.
func TestAgesAreToldAsLongAsHostsAreListed(t *testing.T) {
	for age := time.Duration(0); age <= entryRetention; age += 90 * time.Millisecond {
		b := encodeAge(age)
		if told := decodeAge(b); b == emptyPlace || told < age || told > age+ageStep && told > age+age/15 {
			t.Fatalf("an age of %v is told as %v", age, told)
		}
	}
	x := newHostListTest(t, 2)
	x.now += 26 * time.Second
	x.report("r0", "a1", 1, 5)
	if got := x.update(); got["a0"].GetHeardMs() < 26_000 || got["a0"].GetHeardMs() > 27_000 {
		t.Errorf("hosts %v", got)
	}
}

// Guards against loads that are told with the values, or without the fields, of the first
// report: also with fields of a later build.
func TestLoadsAreToldWhole(t *testing.T) {
	x := newHostListTest(t, 0)
	from := &syncpb.ControlHost{Peer: "c"}
	x.s.refs = newRelayState()
	for _, later := range []byte{7, 9} {
		load := &syncpb.Load{Service: "s", WaitMs: 1}
		load.ProtoReflect().SetUnknown([]byte{0x90, 0x05, later}) // field 82
		h := &syncpb.EntryHost{Name: "b", Region: "r1", Started: 1, Serving: true, Ref: 1, Loads: []*syncpb.Load{load}}
		request := &syncpb.RelayRequest{From: from, Process: 1, Hosts: []*syncpb.EntryHost{h}}
		if later == 9 {
			request = &syncpb.RelayRequest{From: from, Process: 1, Reports: []*syncpb.HostAge{{Ref: 1, Loads: h.GetLoads()}}}
		}
		x.now += 2 * choiceInterval
		x.s.mergeReports(x.now, request)
		if got := x.update()["b"].GetLoads()[0].ProtoReflect().GetUnknown(); len(got) != 3 || got[2] != later {
			t.Errorf("told %v, want %d", got, later)
		}
	}
}

// Guards against a control host that becomes the first one, whose first request in that place
// is lost: it must tell then what it had left out.
func TestLostRequestDoesNotCountAsAsked(t *testing.T) {
	c, in := newControlState("r", "c"), &syncpb.ExchangeRequest{}
	digests := func() []uint64 { return nil }
	c.prepare(in, digests, true)
	c.apply(&syncpb.ExchangeResponse{})
	for range 2 { // the first one is lost
		in = &syncpb.ExchangeRequest{Cursor: 5}
		if c.prepare(in, digests, false); in.GetCursor() != 0 {
			t.Errorf("asks after position %d", in.GetCursor())
		}
	}
	c.apply(&syncpb.ExchangeResponse{})
	in = &syncpb.ExchangeRequest{Cursor: 5}
	if c.prepare(in, digests, false); in.GetCursor() != 5 {
		t.Error("asks for everything again")
	}
}
