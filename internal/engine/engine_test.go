package engine

import (
	"bufio"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"
)

// usual are rates of a setting that is too fast for the engines of these tests.
var usual = Rates{First: 80 * time.Millisecond, Read: 12_800, ReadPerRunning: 54, Event: 4.4e6, EventPerRunning: 0.11e6, EventsPerToken: 1}

// slow is an engine with 36 prompt tokens a millisecond and 7 tokens an event.
var slow = Rates{First: 20 * time.Millisecond, Read: 31_000, ReadPerRunning: 160, Event: 24e6, EventPerRunning: 1.1e6, EventsPerToken: 1.0 / 7, QueueScale: 1, StreamScale: 1}

func quantile(v []float64, q float64) float64 {
	slices.Sort(v)
	return v[min(len(v)-1, int(q*float64(len(v))))]
}

func mean(v []float64) float64 {
	sum := 0.0
	for _, x := range v {
		sum += x
	}
	return sum / float64(len(v))
}

// recorded is a line of a series that was recorded at the hosts of one data centre.
type recorded struct {
	sent, target, prompt, unread, running, queued, arriving, likely, most, events, first, end, complete int
}

func readSeries(t *testing.T, name string) (out []recorded) {
	f, err := os.Open(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	for s := bufio.NewScanner(f); s.Scan(); {
		var r recorded
		if n, _ := fmt.Sscan(s.Text(), &r.sent, &r.target, &r.prompt, &r.unread, &r.running, &r.queued, &r.arriving, &r.likely, &r.most, &r.events, &r.first, &r.end, &r.complete); n == 13 {
			out = append(out, r)
		}
	}
	return out
}

// Pattern: long prompts and short ones on the same targets, more than they can serve, with
// a setting for faster engines; recorded.
func TestRecordedSeriesAreForecast(t *testing.T) {
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	for _, name := range []string{"many_slots_taken.txt", "burst.txt"} {
		series := readSeries(t, name)
		learnt := NewCalibration(usual)
		start := learnt.Rates(0)
		type event struct {
			at      time.Duration
			observe func()
		}
		var events []event
		failures := map[string][2][]float64{}
		for i, r := range series {
			e := Expectation{Load: Load{Running: r.running, Unread: float64(r.queued), Arriving: float64(r.arriving)}, Prompt: float64(r.unread), Output: float64(r.likely)}
			sent := ms(r.sent)
			for len(events) > 0 && events[0].at <= sent {
				events[0].observe()
				events = events[1:]
			}
			if i > len(series)/2 { // the first half teaches
				kind := "short"
				if r.prompt > 2500 {
					kind = "long"
				}
				add := func(name string, took time.Duration, of func(Forecast) time.Duration) {
					both := failures[kind+" "+name]
					// Before, nine tenths of the most output tokens were expected, at the rates of the setting.
					for n, f := range []Forecast{start.Forecast(e.Load, e.Prompt, 0.9*float64(r.most)), learnt.Rates(sent).Forecast(e.Load, e.Prompt, e.Output)} {
						both[n] = append(both[n], math.Abs(float64(took-of(f)))/1e6)
					}
					failures[kind+" "+name] = both
				}
				add("first", ms(r.first), Forecast.First)
				if r.complete == 1 {
					add("end", ms(r.end), func(f Forecast) time.Duration { return f.First() + f.Stream })
				}
			}
			events = append(events, event{sent + ms(r.first), func() { learnt.ObserveFirst(sent+ms(r.first), e, ms(r.first)) }})
			if r.events > 0 {
				took := ms(r.end - r.first)
				events = append(events, event{sent + ms(r.end), func() {
					learnt.ObserveGaps(sent+ms(r.end), e.Load, Stream{Events: r.events, Took: took, Gap: took / time.Duration(r.events)})
					if r.complete == 1 {
						learnt.ObserveLength(sent+ms(r.end), r.events+1, e.Output)
					}
				}})
			}
			slices.SortStableFunc(events, func(a, b event) int { return int(a.at - b.at) })
		}
		for name2, both := range failures {
			before, after := quantile(both[0], 0.5), quantile(both[1], 0.5)
			t.Logf("%s: %s of %d: error in ms, mean %.0f before, %.0f after; median %.0f, %.0f; 90th percentile %.0f, %.0f", name, name2, len(both[0]), mean(both[0]), mean(both[1]), before, after, quantile(both[0], 0.9), quantile(both[1], 0.9))
			// In the burst most responses that end within the series are those that are far
			// shorter than their callers said: their ends are only shown.
			if ends := strings.HasSuffix(name2, "end"); ends && name == "burst.txt" {
				continue
			}
			if mean(both[1]) >= mean(both[0]) {
				t.Errorf("%s: the learnt rates forecast the %s worse than the setting", name, name2)
			}
		}
	}
}

// region lets the hosts of a region observe engines with the same rates, and tell each
// other at an interval.
type region struct {
	hosts []*Calibration
	r     *rand.Rand
}

func newRegion(hosts int, seed uint64) *region {
	g := &region{r: rand.New(rand.NewPCG(seed, 1))}
	for range hosts {
		g.hosts = append(g.hosts, NewCalibration(usual))
	}
	return g
}

// run lets each host observe perSecond responses a second until a time. hidden is the
// mean delay by requests that the host does not know of.
func (g *region) run(from, until time.Duration, perSecond float64, engine Rates, hidden time.Duration) {
	const tick = 50 * time.Millisecond
	for now := from; now < until; now += tick {
		for _, c := range g.hosts {
			if g.r.Float64() >= perSecond*tick.Seconds() {
				continue
			}
			e := Expectation{Load: Load{Running: g.r.IntN(30)}, Prompt: 200 + 600*g.r.Float64(), Output: 50 + 200*g.r.Float64()}
			if g.r.IntN(2) == 0 {
				e.Prompt = 2000 + 8000*g.r.Float64()
			}
			if g.r.IntN(2) == 0 {
				e.Unread = 6000 * g.r.Float64()
			}
			f := engine.nominal(e.Load, e.Prompt, e.Output)
			c.ObserveFirst(now, e, f.First()+time.Duration(g.r.ExpFloat64()*float64(hidden)))
			events := max(1, int(e.Output*engine.EventsPerToken*math.Exp(0.5*g.r.NormFloat64())-0.5))
			gap := engine.EventTime(e.Running, 0)
			c.ObserveGaps(now, e.Load, Stream{Events: events, Took: time.Duration(events) * gap, Gap: gap})
			c.ObserveLength(now, events+1, e.Output)
		}
		for i, c := range g.hosts {
			if report := c.Report(now); report != nil && now%(4*tick) == 0 {
				for j, other := range g.hosts {
					if i != j && !other.Merge(now-4*tick, fmt.Sprint(i), report) {
						panic("a report was not accepted")
					}
				}
			}
		}
	}
}

func near(t *testing.T, what string, got, want, tolerance float64) {
	t.Helper()
	if math.Abs(got-want) > tolerance*want {
		t.Errorf("%s is %.3g, want %.3g", what, got, want)
	}
}

// Pattern: 47 hosts that each see few requests of engines for which the setting is too
// fast, with views 0.2 s old.
func TestHostsLearnTogetherWithinTwoSeconds(t *testing.T) {
	for seed := range uint64(10) {
		g := newRegion(47, seed)
		g.run(0, 2*time.Second, 2.5, slow, 20*time.Millisecond)
		c := g.hosts[0]
		got := c.Rates(2 * time.Second)
		for _, running := range []int{1, 20} {
			near(t, "the time of 5,000 tokens", float64(got.First+got.ReadTime(5000, running)), float64(slow.First+slow.ReadTime(5000, running)), 0.25)
			near(t, "the time of an event", float64(got.EventTime(running, 0)), float64(slow.EventTime(running, 0)), 0.15)
		}
		near(t, "the events of a token", got.EventsPerToken, slow.EventsPerToken, 0.15)
	}
}

// Pattern: a host that hears of no other one, and one whose traffic ends.
func TestRatesReturnToTheSettingWithoutObservations(t *testing.T) {
	g := newRegion(1, 1)
	g.run(0, 10*time.Second, 5, slow, 0)
	c := g.hosts[0]
	near(t, "the time of a token", c.Rates(10*time.Second).Read, slow.Read, 0.25)
	if got := c.Rates(3 * time.Minute); got.Event != usual.Event || math.Abs(got.Read-usual.Read) > 0.05*usual.Read {
		t.Errorf("after 3 minutes without observations the rates are %+v", got)
	}
}

// Pattern: one host with absurd observations among sound ones.
func TestOneHostCannotSpoilTheRates(t *testing.T) {
	g := newRegion(20, 3)
	g.run(0, 2*time.Second, 2.5, slow, 0)
	before := g.hosts[0].Rates(2 * time.Second)
	for range 10 {
		g.hosts[1].ObserveFirst(2*time.Second, Expectation{Prompt: 3000, Output: 100}, time.Hour)
	}
	g.run(2*time.Second, 3*time.Second, 2.5, slow, 0)
	after := g.hosts[0].Rates(3 * time.Second)
	near(t, "the time of 5,000 tokens", float64(after.ReadTime(5000, 0)), float64(before.ReadTime(5000, 0)), 0.5)
	report := g.hosts[0].Report(3 * time.Second)
	for _, invalid := range [][]float32{nil, {1, 2}, append(slices.Clone(report), 1), changedAt(report, 0, float32(math.NaN())), changedAt(report, 0, -1), changedAt(report, 3, float32(math.Inf(1)))} {
		if g.hosts[0].Merge(3*time.Second, "x", invalid) {
			t.Errorf("accepted %v", invalid)
		}
	}
}

func changedAt(report []float32, i int, v float32) []float32 {
	out := slices.Clone(report)
	out[i] = v
	return out
}

// Worked out by hand: 10 events of 20 ms each, 1,000 tokens at 10 us ahead and 2,000 own ones.
func TestForecastByHand(t *testing.T) {
	r := Rates{First: 10 * time.Millisecond, Read: 10_000, Event: 20e6, EventsPerToken: 0.1, QueueScale: 1, StreamScale: 1}
	for _, c := range []struct {
		name                 string
		load                 Load
		idle, queue, streams time.Duration
	}{
		{"idle", Load{}, 30 * time.Millisecond, 0, 200 * time.Millisecond},
		{"queue", Load{Unread: 1000}, 30 * time.Millisecond, 10 * time.Millisecond, 200 * time.Millisecond},
		{"prompts that go on arriving for half of the time", Load{Arriving: 50_000}, 30 * time.Millisecond, 0, 400 * time.Millisecond},
		{"a slow target", Load{Unread: 1000, Pace: 2}, 30 * time.Millisecond, 40 * time.Millisecond, 400 * time.Millisecond},
		{"more prompts than it can read", Load{Arriving: 1e6}, 30 * time.Millisecond, 0, 667 * time.Millisecond},
	} {
		f := r.Forecast(c.load, 2000, 110)
		if f.Idle != c.idle || f.Queue != c.queue || f.Stream.Round(time.Millisecond) != c.streams {
			t.Errorf("%s: %+v, want %v, %v, %v", c.name, f, c.idle, c.queue, c.streams)
		}
	}
}

// Pattern: one target in three is slower.
func TestPaceOfATarget(t *testing.T) {
	var p Pace
	for i := range 20 {
		p.Observe(time.Duration(i)*100*time.Millisecond, 1.3)
	}
	now := 2 * time.Second
	near(t, "the pace", p.Factor(now), 1.3, 0.05)
	near(t, "the reported pace", p.Report(now), 1.3, 0.01)
	if later := p.Factor(now + time.Minute); later > 1.01 || p.Report(now+2*time.Second) != 0 {
		t.Errorf("a pace of a minute ago is still %f", later)
	}
	var other Pace
	for i := range 20 {
		other.Merge(time.Duration(i)*150*time.Millisecond, p.Report(now))
	}
	if f := other.Factor(3 * time.Second); f < 1.1 || f > 1.35 {
		t.Errorf("the other host expects a pace of %f", f)
	}
	other.Merge(now, math.Inf(1))
	other.Merge(now, math.NaN())
	other.Observe(now, 1e9)
	if f := other.Factor(now); f > maxPace {
		t.Errorf("the pace is %f", f)
	}
}

// Pattern: a host whose reports are faulty, beside sound hosts.
func TestFaultyReportsDoNotSpoilTheRates(t *testing.T) {
	c := NewCalibration(usual)
	faulty := make([]float32, sumCount)
	faulty[0], faulty[1] = 0.5, 1 // no observations have a mixed product above both others
	if c.Merge(0, "x", faulty) {
		t.Error("accepted products that no observations can have")
	}
	f := fit{products: [6]float64{0.5, 1, 0, 0, 0, 0}, values: [features]float64{1, 1, 1}}
	prior := [features]float64{1, 2, 3}
	if got := f.solve(prior, [features]float64{0, 0, 0}); got != prior {
		t.Errorf("a singular fit gives %v", got)
	}
	g := newRegion(20, 3)
	g.run(0, 2*time.Second, 2.5, slow, 0)
	sound := g.hosts[0].Rates(2 * time.Second)
	for i, weight := range []float32{1e12, 1} {
		heavy := make([]float32, sumCount)
		heavy[0], heavy[6], heavy[9], heavy[15] = weight, 1e12, weight, 1e12
		now := 2*time.Second + time.Duration(i+1)*solveInterval
		if !g.hosts[0].Merge(now, "x", heavy) {
			t.Fatal("the report was not accepted")
		}
		got := g.hosts[0].Rates(now)
		near(t, "the time of 5,000 tokens", float64(got.First+got.ReadTime(5000, 10)), float64(sound.First+sound.ReadTime(5000, 10)), 0.5)
		near(t, "the time of an event", float64(got.EventTime(10, 0)), float64(sound.EventTime(10, 0)), 0.5)
	}
}

// Pattern: hosts of a region with ten times as many callers at some as at others.
func TestSoundReportsCountInFull(t *testing.T) {
	g := newRegion(20, 5)
	for i, c := range g.hosts {
		single := &region{hosts: []*Calibration{c}, r: g.r}
		single.run(0, 4*time.Second, 0.5+float64(i%4)*1.5, slow, 20*time.Millisecond)
	}
	var others []sums
	limited, plain := g.hosts[0].own, g.hosts[0].own
	for _, c := range g.hosts[1:] {
		others = append(others, c.own)
		plain.add(&c.own, 0)
	}
	limited.addLimited(others)
	if limited != plain {
		t.Errorf("the sums are %v, want %v", limited, plain)
	}
	if plain.first != plain.first.withoutOutliers(others, firstOf, usual.firstCoefficients(), firstPrecision) || plain.event != plain.event.withoutOutliers(others, eventOf, usual.eventCoefficients(1.0/7), eventPrecision) {
		t.Error("times of sound hosts are bounded")
	}
	for age := range 1000 { // faded ones too
		faded := plain
		faded.age(time.Duration(age) * time.Second)
		if _, ok := decodeSums(faded.encode()); !ok {
			t.Fatalf("a report is refused after %d s", age)
		}
	}
}

// Pattern: a build with another format of reports beside this one.
func TestFormatsOfReports(t *testing.T) {
	if !KnownFormat(0) || !KnownFormat(ReportFormat) || KnownFormat(ReportFormat+1) {
		t.Error("a wrong set of formats is read")
	}
}
