package bench

import (
	"time"

	"geraniumturn.example/geraniumturn/internal/standin"
)

// Site is one data centre of a scenario.
type Site struct {
	DataCentre, Region string
	// Hosts are the entry hosts; the first has the control role.
	Hosts []string
	// Engines and Services are how many targets of each kind it has.
	Engines, Services int
}

// Fault is something that happens during a run.
type Fault struct {
	At time.Duration
	// Kind is "kill", "restart", "isolate", "heal", "crash_engines" or "leave_engines".
	Kind string
	// Name is a host, or a data centre for isolate, crash_engines and leave_engines.
	Name string
}

// Scenario is a deployment with its load and faults.
type Scenario struct {
	Name   string
	Sites  []Site
	Rules  string
	Engine standin.Config
	// Service configures the plain services.
	Service standin.Config
	Streams []Stream
	Faults  []Fault
	// Abusive names the workspace that sends more than its rate, if any; it does
	// not count as worst-served.
	Abusive  string
	Duration time.Duration
	Warmup   time.Duration
	// OneWay is the delay between regions.
	OneWay time.Duration
}

const (
	betweenRegions = 55 * time.Millisecond
	// The simulated engines are about as fast as a small model on one
	// accelerator: 10,000 prompt tokens and 100 output tokens a second.
	prefillPerToken = 100 * time.Microsecond
	tokenInterval   = 10 * time.Millisecond
	engineCache     = 30_000
	reportLag       = time.Second
	runTime         = 40 * time.Second
	warmupTime      = 8 * time.Second
)

const cantabricoRules = `
workspace hoteles rate=200000/s burst=1200000 weight=2 home=gijon-a           # Lucía Prieto
workspace turismo rate=200000/s burst=1200000 weight=2 home=santander-a       # Ana Ruiz
workspace euskadi rate=100000/s burst=600000 residency=bilbao-a home=bilbao-a # Iker Etxeberria
workspace ferris rate=20000/s burst=150000                                  # Marta Solís
workspace boletin rate=20000/s burst=150000                                 # Grupo Norvela
pool llegadas kind=engine                                                   # platform team
model modelo-llegadas pool=llegadas                                         # platform team
pool registro kind=service                                                  # platform team
route /v1/completions idempotent=yes                                        # platform team
route /registro/* pool=registro idempotent=no timeout=20s                   # Iker Etxeberria
`

const tanoaRules = `
workspace counter-suva rate=200000/s burst=1200000 weight=2 home=suva-a  # Tanoa
workspace counter-akl rate=200000/s burst=1200000 weight=2 home=akl-a    # Tanoa
workspace catalogue rate=90000/s burst=600000 home=syd-a               # Tanoa
workspace samples rate=9000/s burst=90000                              # Tanoa
workspace suva-only rate=50000/s burst=300000 residency=suva-a         # Tanoa
pool geranium-pool kind=engine                                         # platform team
model shade-match pool=geranium-pool                                   # platform team
pool shop-api kind=service                                             # platform team
route /v1/completions idempotent=yes                                   # platform team
route /shop/browse/* pool=shop-api idempotent=yes                      # Tanoa
route /shop/order pool=shop-api idempotent=no timeout=20s              # Tanoa
`

// question is a short interactive request over shared text.
func question(workspace, dataCentre, model string, perSecond, phase float64) Stream {
	return Stream{Workspace: workspace, DataCentre: dataCentre, Path: "/v1/completions", Model: model, Class: "interactive",
		PerSecond: perSecond, Swing: 0.8, Period: runTime, Phase: phase, Prefixes: 20, PrefixTokens: 2048,
		QuestionTokens: 64, MaxTokens: 24, Streamed: true, Idempotent: true, Timeout: 10 * time.Second}
}

// digest is a long batch request over shared text.
func digest(workspace, dataCentre, model string, perSecond float64) Stream {
	return Stream{Workspace: workspace, DataCentre: dataCentre, Path: "/v1/completions", Model: model, Class: "batch",
		PerSecond: perSecond, Prefixes: 4, PrefixTokens: 6144, QuestionTokens: 512, MaxTokens: 150,
		Streamed: true, Idempotent: true, Timeout: 30 * time.Second}
}

// filing is a request that must not repeat.
func filing(workspace, dataCentre, path string, perSecond float64) Stream {
	return Stream{Workspace: workspace, DataCentre: dataCentre, Path: path, Class: "interactive",
		PerSecond: perSecond, Timeout: 10 * time.Second}
}

// Cantabrico is the first user's deployment with offset peaks and digests.
func Cantabrico() Scenario {
	const model = "modelo-llegadas"
	return Scenario{
		Name: "cantabrico",
		Sites: []Site{
			{"gijon-a", "asturias", []string{"gijon-1", "gijon-2"}, 3, 1},
			{"santander-a", "cantabria", []string{"santander-1"}, 3, 1},
			{"bilbao-a", "euskadi", []string{"bilbao-1"}, 3, 1},
		},
		Rules:  cantabricoRules,
		Engine: engineOf("llegadas", model), Service: serviceOf("registro"),
		Streams: []Stream{
			question("hoteles", "gijon-a", model, 30, 0.25),
			question("turismo", "santander-a", model, 30, 0.55),
			question("euskadi", "bilbao-a", model, 14, 0.85),
			question("ferris", "gijon-a", model, 3, 0.25),
			question("ferris", "santander-a", model, 3, 0.55),
			digest("boletin", "santander-a", model, 0.5),
			digest("hoteles", "gijon-a", model, 0.5),
			filing("euskadi", "bilbao-a", "/registro/llegadas", 2),
			filing("hoteles", "gijon-a", "/registro/llegadas", 2),
		},
		Duration: runTime, Warmup: warmupTime, OneWay: betweenRegions,
	}
}

// Tanoa is the second user's deployment.
func Tanoa() Scenario {
	const model = "shade-match"
	browse := filing("catalogue", "syd-a", "/shop/browse/saved", 5)
	browse.Idempotent = true
	return Scenario{
		Name: "tanoa",
		Sites: []Site{
			{"suva-a", "fiji", []string{"suva-1"}, 3, 1},
			{"akl-a", "aotearoa", []string{"akl-1", "akl-2"}, 4, 1},
			{"syd-a", "australia", []string{"syd-1"}, 3, 1},
		},
		Rules:  tanoaRules,
		Engine: engineOf("geranium-pool", model), Service: serviceOf("shop-api"),
		Streams: []Stream{
			question("counter-suva", "suva-a", model, 28, 0.25),
			question("counter-akl", "akl-a", model, 36, 0.6),
			question("suva-only", "suva-a", model, 6, 0.25),
			digest("catalogue", "syd-a", model, 1),
			digest("catalogue", "akl-a", model, 0.5),
			filing("samples", "akl-a", "/shop/order", 2),
			filing("samples", "suva-a", "/shop/order", 2),
			browse,
		},
		Duration: runTime, Warmup: warmupTime, OneWay: betweenRegions,
	}
}

func engineOf(pool, model string) standin.Config {
	return standin.Config{Pool: pool, Models: []string{model}, Slots: 8, PrefillPerToken: prefillPerToken,
		TokenInterval: tokenInterval, CacheTokens: engineCache, ReportLag: reportLag}
}

func serviceOf(pool string) standin.Config {
	return standin.Config{Pool: pool, Slots: 16, ServiceTime: 20 * time.Millisecond}
}

// Scenarios lists the ready-made scenarios: both deployments, and each fault
// on the first one.
func Scenarios() []Scenario {
	out := []Scenario{Cantabrico(), Tanoa()}
	abusive := Cantabrico()
	abusive.Name, abusive.Abusive = "abusive", "ferris"
	abusive.Streams = append(abusive.Streams, question("ferris", "gijon-a", "modelo-llegadas", 45, 0.25))
	lost := Cantabrico()
	lost.Name = "host-lost"
	lost.Faults = []Fault{{15 * time.Second, "kill", "santander-1"}, {28 * time.Second, "restart", "santander-1"}}
	cut := Cantabrico()
	cut.Name = "region-cut"
	cut.Faults = []Fault{{15 * time.Second, "isolate", "bilbao-a"}, {30 * time.Second, "heal", "bilbao-a"}}
	cold := Cantabrico()
	cold.Name = "cold-return"
	cold.Faults = []Fault{{14 * time.Second, "crash_engines", "gijon-a"}}
	return append(out, abusive, lost, cut, cold)
}
