package targets

import (
	"bufio"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"geraniumturn.example/geraniumturn/internal/targets/targetspb"
)

// tracePlayer replays a trace of announcements, relay messages, cache events and
// attempt results against one table and checks the expected state.
type tracePlayer struct {
	t        *testing.T
	position string
	table    *Table
	now      time.Time
	probe    bool
}

type fields map[string]string

func (f fields) number(name string, fallback int) int {
	if f[name] == "" {
		return fallback
	}
	n, err := strconv.Atoi(f[name])
	if err != nil {
		panic(err)
	}
	return n
}

// Guards against late, reordered and duplicate announcements that overwrite newer
// ones, against stale relay messages and cache events, and against wrong ejection
// and readmission.
func TestTraces(t *testing.T) {
	files, err := filepath.Glob("testdata/traces/*.trace")
	if err != nil || len(files) == 0 {
		t.Fatalf("no traces: %v", err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) { playTrace(t, file) })
	}
}

func playTrace(t *testing.T, file string) {
	f, err := os.Open(file)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	p := &tracePlayer{t: t, table: NewTable("host", "here")}
	lines := bufio.NewScanner(f)
	for n := 1; lines.Scan(); n++ {
		line, _, _ := strings.Cut(lines.Text(), "#")
		words := strings.Fields(line)
		if len(words) == 0 {
			continue
		}
		p.position = fmt.Sprintf("%s:%d", filepath.Base(file), n)
		ms, err := strconv.Atoi(words[0])
		if err != nil {
			t.Fatalf("%s: %v", p.position, err)
		}
		p.now = time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond)
		name, options := "", fields{}
		if len(words) > 2 {
			name = words[2]
			for _, w := range words[3:] {
				key, value, _ := strings.Cut(w, "=")
				options[key] = value
			}
		}
		p.play(words[1], name, options)
	}
}

func (p *tracePlayer) play(verb, name string, f fields) {
	inc := uint64(f.number("inc", 1))
	switch verb {
	case "announce":
		urgent, err := p.table.Announce(p.now, announcement(name, f))
		p.checkError(err, f)
		if f["urgent"] != "" && urgent != (f["urgent"] == "yes") {
			p.t.Errorf("%s: urgent is %v", p.position, urgent)
		}
	case "relay":
		p.relay(name, f)
	case "load":
		p.load(name, f)
	case "cache":
		p.checkError(p.table.ApplyCacheEvent(cacheEvent(p.t, name, f)), f)
	case "tick":
		p.table.Tick(p.now)
	case "claim":
		c, ok := p.candidate(name, nil)
		if _, claimed := p.table.Claim(p.now, &c); !ok || !claimed {
			p.t.Errorf("%s: target cannot be claimed", p.position)
		}
	case "begin":
		p.probe = p.table.Begin(p.now, name, inc, 0, nil)
		if p.probe != (f["probe"] == "yes") {
			p.t.Errorf("%s: probe is %v", p.position, p.probe)
		}
	case "end":
		p.table.End(p.now, name, inc, map[string]Result{"worked": Succeeded, "failed": Failed}[f["result"]], p.probe)
	case "fail", "work":
		for range f.number("times", 1) {
			p.table.Begin(p.now, name, inc, 0, nil)
			p.table.End(p.now, name, inc, map[string]Result{"work": Succeeded, "fail": Failed}[verb], false)
		}
	case "expect":
		p.expect(name, f)
	case "residency":
		_, ok := p.candidate(name, strings.Split(f["in"], ","))
		if ok != (f["state"] == "available") {
			p.t.Errorf("%s: available is %v", p.position, ok)
		}
	default:
		p.t.Fatalf("%s: unknown verb %s", p.position, verb)
	}
}

func announcement(name string, f fields) Announcement {
	dc := f["dc"]
	if dc == "" {
		dc = "here"
	}
	return Announcement{Name: name, Incarnation: uint64(f.number("inc", 1)), Sequence: uint64(f.number("seq", 1)),
		Address: "127.0.0.1:9000", Pool: "pool", DataCentre: dc, Models: []string{"model"}, Slots: f.number("slots", 4),
		Running: f.number("running", 0), LagMS: 1000, Leaving: f["leaving"] == "yes"}
}

func (p *tracePlayer) relay(name string, f fields) {
	a := announcement(name, f)
	m := Message{Request: &targetspb.RelayRequest{}, reports: map[string]version{}}
	m.addReport(p.now, &record{Announcement: a, lastHeard: p.now.Add(-time.Duration(f.number("age", 0)) * time.Millisecond)})
	_, err := p.table.Receive(p.now, "other", m.Request)
	p.checkError(err, f)
}

func (p *tracePlayer) load(name string, f fields) {
	a := announcement(name, f)
	_, err := p.table.Receive(p.now, "other", &targetspb.RelayRequest{Loads: []*targetspb.Load{{Id: nameID(name),
		Sequence: a.Sequence, AgeMs: uint32(f.number("age", 0)), State: uint32(a.stateDigest())}}})
	p.checkError(err, f)
}

func cacheEvent(t *testing.T, name string, f fields) *CacheEvent {
	list := func(text string) string {
		if text == "" {
			return "[]"
		}
		return `["` + strings.ReplaceAll(text, ",", `","`) + `"]`
	}
	e, err := DecodeCacheEvent(fmt.Appendf(nil, `{"target":%q,"incarnation":%d,"sequence":%d,"stored":%s,"removed":%s,"cleared":%t}`,
		name, f.number("inc", 1), f.number("seq", 1), list(f["stored"]), list(f["removed"]), f["cleared"] == "yes"))
	if err != nil {
		t.Fatal(err)
	}
	return &e
}

func (p *tracePlayer) checkError(err error, f fields) {
	want := map[string]error{"stale": ErrStale, "full": ErrFull, "invalid": ErrInvalid}[f["error"]]
	if (want == nil) != (err == nil) || (want != nil && !errors.Is(err, want)) {
		p.t.Errorf("%s: error %v, expected %v", p.position, err, want)
	}
}

func (p *tracePlayer) candidate(name string, residency []string) (Candidate, bool) {
	for _, c := range p.table.Candidates(nil, p.now, &Query{Pool: "pool", Model: "model", Residency: residency}) {
		if c.Name == name {
			return c, true
		}
	}
	return Candidate{}, false
}

func (p *tracePlayer) expect(name string, f fields) {
	t, known := p.table.Get(name)
	c, available := p.candidate(name, nil)
	state := "unknown"
	switch {
	case available && c.Probe:
		state = "probe"
	case available:
		state = "available"
	case known:
		state = "unavailable"
	}
	got := map[string]string{"state": state, "limit": fmt.Sprint(c.Limit), "cached": fmt.Sprint(t.Cached),
		"inflight": fmt.Sprint(t.InFlight), "negative": fmt.Sprint(p.table.Stats().NegativeInFlight),
		"gaps": fmt.Sprint(p.table.Stats().CacheGaps), "adopted": map[bool]string{true: "yes", false: "no"}[t.Adopted]}
	for key, want := range f {
		if got[key] != want {
			p.t.Errorf("%s: %s is %q, expected %q", p.position, key, got[key], want)
		}
	}
}
