package membership

import (
	"sync"
	"time"

	pb "geraniumturn.example/geraniumturn/internal/membership/membershippb"
)

// Members is a Detector for concurrent use, with the read-only functions for
// other components.
type Members struct {
	mu       sync.Mutex
	detector *Detector
	start    time.Time
	// version and hosts cache the list of hosts.
	version uint64
	hosts   []Host
	byName  map[string]int
}

// New returns members whose time starts now.
func New(self Host, settings []Host, seed uint64) *Members {
	return &Members{detector: NewDetector(self, settings, seed), start: time.Now()}
}

func (m *Members) now() time.Duration { return time.Since(m.start) }

// Tick advances the detector.
func (m *Members) Tick(b Beacon) []Envelope {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.detector.SetBeacon(b)
	return m.detector.Tick(m.now())
}

// Receive handles a message.
func (m *Members) Receive(in *pb.Message) []Envelope {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.detector.Receive(m.now(), in)
}

// SendFailed tells that the message with the sequence was not delivered.
func (m *Members) SendFailed(sequence uint64) []Envelope {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.detector.SendFailed(sequence)
}

// SetDraining sets this host's own mark.
func (m *Members) SetDraining(draining bool) []Envelope {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.detector.SetDraining(draining)
}

// All lists every known host by name, this one and dead ones included. The
// caller must not change the list. Beacons in it may be out of date; HostWithNewerState has
// the current ones.
func (m *Members) All() []Host {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refresh()
	return m.hosts
}

func (m *Members) refresh() {
	if m.hosts != nil && m.version == m.detector.Version() {
		return
	}
	m.version, m.hosts = m.detector.Version(), m.detector.Hosts()
	m.byName = make(map[string]int, len(m.hosts))
	for i, h := range m.hosts {
		m.byName[h.Name] = i
	}
}

// Lookup returns a known host.
func (m *Members) Lookup(name string) (Host, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refresh()
	i, ok := m.byName[name]
	if !ok {
		return Host{}, false
	}
	return m.hosts[i], true
}

// Live lists the hosts of a data centre that are not dead, this one included,
// by name. An empty name means all data centres.
func (m *Members) Live(dataCentre string) []Host {
	var out []Host
	for _, h := range m.All() {
		if !h.Dead && (dataCentre == "" || h.DataCentre == dataCentre) {
			out = append(out, h)
		}
	}
	return out
}

// Draining reports whether the host announced that it takes no new work.
func (m *Members) Draining(name string) bool {
	h, ok := m.Lookup(name)
	return ok && h.Draining
}

// HostWithNewerState returns a live host whose last message had a higher index, one of the
// given data centre first. Hosts in skip are passed over.
func (m *Members) HostWithNewerState(index uint64, dataCentre string, skip map[string]bool) (Host, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var best Host
	for _, h := range m.detector.members {
		if h == m.detector.self || h.record.Status == pb.Status_DEAD || h.beacon.Index <= index || skip[h.record.Name] {
			continue
		}
		candidate := m.detector.host(h)
		if best.Name == "" || preferred(candidate, best, dataCentre) {
			best = candidate
		}
	}
	return best, best.Name != ""
}

func preferred(a, b Host, dataCentre string) bool {
	if near := a.DataCentre == dataCentre; near != (b.DataCentre == dataCentre) {
		return near
	}
	if a.Beacon.Index != b.Beacon.Index {
		return a.Beacon.Index > b.Beacon.Index
	}
	return a.Name < b.Name
}
