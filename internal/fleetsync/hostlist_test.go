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
