package bench

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"geraniumturn.example/geraniumturn/internal/proctest"
	"geraniumturn.example/geraniumturn/internal/rules"
	"geraniumturn.example/geraniumturn/internal/standin"
)

var (
	scenarioFlag = flag.String("scenarios", "smoke", "scenarios to run, separated by commas, or all")
	policyFlag   = flag.String("policies", "default", "target/data-centre policies to compare, separated by commas")
	outFlag      = flag.String("out", "", "folder for the report; no report if empty")
	seedFlag     = flag.Uint64("seed", 1, "seed of the arrivals")
)

// smokeScenario is a short run for the normal tests. It guards against faults of the
// load generator and the measures, and against a healthy fleet that does not serve
// every request.
func smokeScenario() Scenario {
	s := Cantabrico()
	s.Name, s.Duration, s.Warmup = "smoke", 6*time.Second, 3*time.Second
	for i := range s.Streams {
		s.Streams[i].PerSecond /= 4
	}
	return s
}

// TestScenarios runs the selected scenarios on real processes and reports the
// measures. It guards against operations that run more than once.
func TestScenarios(t *testing.T) {
	var all []Measures
	for _, s := range selectedScenarios(t) {
		for policy := range strings.SplitSeq(*policyFlag, ",") {
			t.Run(s.Name+"/"+policy, func(t *testing.T) {
				m := runScenario(t, &s, policy)
				all = append(all, m)
				checkMeasures(t, &s, m)
			})
		}
	}
	t.Log("\n" + Table(all))
	if *outFlag != "" {
		if err := Report(*outFlag, all); err != nil {
			t.Fatal(err)
		}
	}
}

func selectedScenarios(t *testing.T) []Scenario {
	t.Helper()
	if *scenarioFlag == "smoke" {
		return []Scenario{smokeScenario()}
	}
	names := strings.Split(*scenarioFlag, ",")
	var out []Scenario
	for _, s := range Scenarios() {
		if *scenarioFlag == "all" || slices.Contains(names, s.Name) {
			out = append(out, s)
		}
	}
	if len(out) == 0 {
		t.Fatalf("no scenario %q", *scenarioFlag)
	}
	return out
}

func checkMeasures(t *testing.T, s *Scenario, m Measures) {
	t.Helper()
	if m.OperationsRepeated != 0 {
		t.Errorf("%d operations ran more than once", m.OperationsRepeated)
	}
	if s.Name == "smoke" && (m.Requests == 0 || m.Completed != m.Requests) {
		t.Errorf("%d of %d requests got a complete response: %v", m.Completed, m.Requests, m.Refusals)
	}
}

// deployment is the running fleet and targets of a scenario.
type deployment struct {
	t        *testing.T
	scenario *Scenario
	fleet    *proctest.Fleet
	targets  []*standin.Target
}

func runScenario(t *testing.T, s *Scenario, policy string) Measures {
	d := deploy(t, s, policy)
	set, err := rules.Parse(s.Rules)
	if err != nil {
		t.Fatal(err)
	}
	load := &Load{Arrivals: Schedule(*seedFlag, s.Streams, s.Duration), Warmup: s.Warmup, Rules: set,
		Keys: map[string]string{}, EntryHosts: map[string][]string{}}
	for name := range set.Workspaces {
		load.Keys[name] = d.fleet.Grant(name)
	}
	for _, site := range s.Sites {
		for _, h := range site.Hosts {
			load.EntryHosts[site.DataCentre] = append(load.EntryHosts[site.DataCentre], d.fleet.HTTP(h))
		}
	}
	d.awaitTargets(load)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go d.injectFaults(ctx)
	recorder := load.Run(ctx)
	m := Measure(s, recorder, d.totals(), d.sentAwayCount(), d.repeatedOperations())
	m.Policy, m.Seed = policy, *seedFlag
	return m
}

func deploy(t *testing.T, s *Scenario, policy string) *deployment {
	var hosts []proctest.Host
	for _, site := range s.Sites {
		for i, name := range site.Hosts {
			hosts = append(hosts, proctest.Host{Name: name, DataCentre: site.DataCentre, Region: site.Region,
				Control: i == 0, ExtraSettings: policySettings(t, policy)})
		}
	}
	d := &deployment{t: t, scenario: s, fleet: proctest.Start(t, hosts)}
	d.fleet.DelayBetweenDataCentres(s.OneWayDelay)
	d.fleet.Apply(s.Rules)
	for _, site := range s.Sites {
		for i := range site.Engines {
			d.startTarget(s.Engine, site, fmt.Sprintf("engine-%s-%d", site.DataCentre, i))
		}
		for i := range site.Services {
			d.startTarget(s.Service, site, fmt.Sprintf("service-%s-%d", site.DataCentre, i))
		}
	}
	return d
}

// policySettings returns the settings for a policy, which is "default" or
// "TARGET/DATA_CENTRE".
func policySettings(t *testing.T, policy string) string {
	t.Helper()
	if policy == "default" {
		return ""
	}
	target, dataCentre, ok := strings.Cut(policy, "/")
	if !ok {
		t.Fatalf("policy %q must be default or TARGET/DATA_CENTRE", policy)
	}
	return fmt.Sprintf("[policy]\ntarget = %q\ndata_centre = %q", target, dataCentre)
}

func (d *deployment) startTarget(config standin.Config, site Site, name string) {
	config.Name, config.DataCentre, config.RestartDelay = name, site.DataCentre, 3*time.Second
	d.targets = append(d.targets, d.fleet.StartTarget(config, d.announceOrder(site)...))
}

// announceOrder returns the hosts to which a target of the site announces itself:
// first those of its own data centre, then all others.
func (d *deployment) announceOrder(site Site) []string {
	order := slices.Clone(site.Hosts)
	for _, other := range d.scenario.Sites {
		if other.DataCentre != site.DataCentre {
			order = append(order, other.Hosts...)
		}
	}
	return order
}

// awaitTargets waits until a short probe request of every stream succeeds.
func (d *deployment) awaitTargets(load *Load) {
	clients := load.clientsByOrigin()
	for i := range d.scenario.Streams {
		s := &d.scenario.Streams[i]
		probe := *s
		probe.Prefixes, probe.QuestionTokens, probe.MaxTokens = 0, 1, 1
		a := Schedule(uint64(i)+1000, []Stream{probe}, time.Hour)[0]
		if a.IdempotencyKey != "" {
			a.IdempotencyKey = fmt.Sprint("probe-", i)
		}
		c := clients[s.Workspace+"/"+s.DataCentre]
		if c == nil {
			continue
		}
		proctest.Eventually(d.t, proctest.StartTimeout, func() error {
			if o := send(d.t.Context(), c, &a, time.Now()); o.Code != "" {
				return fmt.Errorf("%s in %s: %s", s.Workspace, s.DataCentre, o.Code)
			}
			return nil
		})
	}
}

func (d *deployment) injectFaults(ctx context.Context) {
	start := time.Now()
	for _, f := range d.scenario.Faults {
		if waitUntil(ctx, start.Add(f.At)) != nil {
			return
		}
		d.inject(f)
	}
}

func (d *deployment) inject(f Fault) {
	switch f.Kind {
	case "kill":
		d.fleet.Kill(f.Name)
	case "restart":
		d.fleet.Launch(f.Name)
	case "isolate":
		d.fleet.Isolate(d.hostsOf(f.Name)...)
	case "heal":
		d.fleet.Heal()
	case "crash_engines":
		d.eachEngine(f.Name, (*standin.Target).Crash)
	case "leave_engines":
		d.eachEngine(f.Name, (*standin.Target).Leave)
	default:
		d.t.Errorf("unknown fault %q", f.Kind)
	}
}

func (d *deployment) hostsOf(dataCentre string) []string {
	for _, site := range d.scenario.Sites {
		if site.DataCentre == dataCentre {
			return site.Hosts
		}
	}
	return nil
}

func (d *deployment) eachEngine(dataCentre string, do func(*standin.Target)) {
	for _, target := range d.targets {
		if target.DataCentre() == dataCentre && strings.HasPrefix(target.Name(), "engine-") {
			do(target)
		}
	}
}

func (d *deployment) totals() standin.Totals {
	var sum standin.Totals
	for _, target := range d.targets {
		totals := target.Totals()
		sum.Requests += totals.Requests
		sum.PromptTokens += totals.PromptTokens
		sum.CachedTokens += totals.CachedTokens
		sum.OutputTokens += totals.OutputTokens
		sum.BusyMicros += totals.BusyMicros
		sum.Cancelled += totals.Cancelled
		sum.Crashes += totals.Crashes
	}
	return sum
}

// repeatedOperations returns the number of non-idempotent service requests that ran
// more than once, counted over all targets.
func (d *deployment) repeatedOperations() int64 {
	runs := map[string]int{}
	for _, target := range d.targets {
		if strings.HasPrefix(target.Name(), "service-") {
			for body, n := range target.RunsByBody() {
				runs[body] += n
			}
		}
	}
	idempotentStreams := map[int]bool{}
	for i, s := range d.scenario.Streams {
		idempotentStreams[i] = s.Idempotent
	}
	var repeated int64
	for body, n := range runs {
		var in struct{ Stream int }
		if n > 1 && json.Unmarshal([]byte(body), &in) == nil && !idempotentStreams[in.Stream] {
			repeated++
		}
	}
	return repeated
}

// sentAwayCount returns the sum of the entry.sent_away counters of all reachable hosts.
// A killed host loses its counter, so that the sum is too low in scenarios with a kill.
func (d *deployment) sentAwayCount() int64 {
	var sum int64
	for _, address := range d.fleet.Addresses() {
		response, err := http.Get("http://" + address + "/metrics")
		if err != nil {
			continue
		}
		var metrics map[string]struct {
			Count int64 `json:"count"`
		}
		_ = json.NewDecoder(response.Body).Decode(&metrics)
		response.Body.Close()
		sum += metrics["entry.sent_away"].Count
	}
	return sum
}
