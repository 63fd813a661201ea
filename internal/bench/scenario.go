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
	// Engines and Services are the numbers of targets of each kind.
	Engines, Services int
}

// Fault is a fault, or its repair, that is injected during a run.
type Fault struct {
	At time.Duration
	// Kind is "kill", "restart", "isolate", "heal", "crash_engines" or "leave_engines".
	Kind string
	// Name is a host for kill and restart, and a data centre for isolate, crash_engines and
	// leave_engines. Heal ignores it and restores all connections.
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
	// Abusive is the workspace that exceeds its rate, if any. It is excluded from the
	// worst-served workspace and from the refusals within rate.
	Abusive  string
	Duration time.Duration
	Warmup   time.Duration
	// OneWayDelay is the network delay between data centres in each direction.
	OneWayDelay time.Duration
}

const (
	interRegionDelay = 55 * time.Millisecond
	// The simulated engines are about as fast as a small model on one accelerator:
	// 10,000 prompt tokens and 100 output tokens per second.
	prefillPerToken   = 100 * time.Microsecond
	tokenInterval     = 10 * time.Millisecond
	engineCacheTokens = 30_000
	reportLag         = time.Second
	runDuration       = 40 * time.Second
	warmupDuration    = 8 * time.Second
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

// interactiveStream returns a stream of short interactive completions with shared
// prompt prefixes and a rate that varies over the run.
func interactiveStream(workspace, dataCentre, model string, perSecond, phase float64) Stream {
	return Stream{Workspace: workspace, DataCentre: dataCentre, Path: "/v1/completions", Model: model, Class: "interactive",
		PerSecond: perSecond, Amplitude: 0.8, Period: runDuration, Phase: phase, Prefixes: 20, PrefixTokens: 2048,
		QuestionTokens: 64, MaxTokens: 24, Streamed: true, Idempotent: true, Timeout: 10 * time.Second}
}

// batchStream returns a stream of long batch completions with shared prompt prefixes.
func batchStream(workspace, dataCentre, model string, perSecond float64) Stream {
	return Stream{Workspace: workspace, DataCentre: dataCentre, Path: "/v1/completions", Model: model, Class: "batch",
		PerSecond: perSecond, Prefixes: 4, PrefixTokens: 6144, QuestionTokens: 512, MaxTokens: 150,
		Streamed: true, Idempotent: true, Timeout: 30 * time.Second}
}

// operationStream returns a stream of service requests that must run at most once.
func operationStream(workspace, dataCentre, path string, perSecond float64) Stream {
	return Stream{Workspace: workspace, DataCentre: dataCentre, Path: path, Class: "interactive",
		PerSecond: perSecond, Timeout: 10 * time.Second}
}

// Cantabrico is a deployment with three regions, load peaks at different times in
// each, and batch load.
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
		Engine: engineConfig("llegadas", model), Service: serviceConfig("registro"),
		Streams: []Stream{
			interactiveStream("hoteles", "gijon-a", model, 30, 0.25),
			interactiveStream("turismo", "santander-a", model, 30, 0.55),
			interactiveStream("euskadi", "bilbao-a", model, 14, 0.85),
			interactiveStream("ferris", "gijon-a", model, 3, 0.25),
			interactiveStream("ferris", "santander-a", model, 3, 0.55),
			batchStream("boletin", "santander-a", model, 0.5),
			batchStream("hoteles", "gijon-a", model, 0.5),
			operationStream("euskadi", "bilbao-a", "/registro/llegadas", 2),
			operationStream("hoteles", "gijon-a", "/registro/llegadas", 2),
		},
		Duration: runDuration, Warmup: warmupDuration, OneWayDelay: interRegionDelay,
	}
}

// Tanoa is a deployment with data centres of different sizes and a workspace that is
// restricted to one of them.
func Tanoa() Scenario {
	const model = "shade-match"
	browse := operationStream("catalogue", "syd-a", "/shop/browse/saved", 5)
	browse.Idempotent = true
	return Scenario{
		Name: "tanoa",
		Sites: []Site{
			{"suva-a", "fiji", []string{"suva-1"}, 3, 1},
			{"akl-a", "aotearoa", []string{"akl-1", "akl-2"}, 4, 1},
			{"syd-a", "australia", []string{"syd-1"}, 3, 1},
		},
		Rules:  tanoaRules,
		Engine: engineConfig("geranium-pool", model), Service: serviceConfig("shop-api"),
		Streams: []Stream{
			interactiveStream("counter-suva", "suva-a", model, 28, 0.25),
			interactiveStream("counter-akl", "akl-a", model, 36, 0.6),
			interactiveStream("suva-only", "suva-a", model, 6, 0.25),
			batchStream("catalogue", "syd-a", model, 1),
			batchStream("catalogue", "akl-a", model, 0.5),
			operationStream("samples", "akl-a", "/shop/order", 2),
			operationStream("samples", "suva-a", "/shop/order", 2),
			browse,
		},
		Duration: runDuration, Warmup: warmupDuration, OneWayDelay: interRegionDelay,
	}
}

func engineConfig(pool, model string) standin.Config {
	return standin.Config{Pool: pool, Models: []string{model}, Slots: 8, PrefillPerToken: prefillPerToken,
		TokenInterval: tokenInterval, CacheTokens: engineCacheTokens, ReportLag: reportLag}
}

func serviceConfig(pool string) standin.Config {
	return standin.Config{Pool: pool, Slots: 16, ServiceTime: 20 * time.Millisecond}
}

// Scenarios returns the predefined scenarios: both deployments without faults, and
// variants of the first with an abusive workspace, a lost host, an isolated region, and
// engines that crash and restart with empty caches.
func Scenarios() []Scenario {
	out := []Scenario{Cantabrico(), Tanoa()}
	abusive := Cantabrico()
	abusive.Name, abusive.Abusive = "abusive", "ferris"
	abusive.Streams = append(abusive.Streams, interactiveStream("ferris", "gijon-a", "modelo-llegadas", 45, 0.25))
	hostLost := Cantabrico()
	hostLost.Name = "host-lost"
	hostLost.Faults = []Fault{{15 * time.Second, "kill", "santander-1"}, {28 * time.Second, "restart", "santander-1"}}
	regionCut := Cantabrico()
	regionCut.Name = "region-cut"
	regionCut.Faults = []Fault{{15 * time.Second, "isolate", "bilbao-a"}, {30 * time.Second, "heal", "bilbao-a"}}
	coldReturn := Cantabrico()
	coldReturn.Name = "cold-return"
	coldReturn.Faults = []Fault{{14 * time.Second, "crash_engines", "gijon-a"}}
	return append(out, abusive, hostLost, regionCut, coldReturn)
}
