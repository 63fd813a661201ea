package document

import (
	"slices"
	"strings"
	"time"
)

// Kind tells how the requests of a route may be retried.
type Kind string

// The kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// NonIdempotent requests run at most once for each caller's attempt.
	NonIdempotent Kind = "non_idempotent"
	// Streaming requests have a response that is a series of events.
	Streaming Kind = "streaming"
)

// Document is one version of the configuration.
type Document struct {
	Version    uint64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits
}

// Route sends the requests of a host name and path prefix to a service.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// FirstByteObjective is the time to the first byte up to which a response earns full
	// credit.
	FirstByteObjective time.Duration
	// MaxEventGap is the longest pause between the events of a stream at which it is
	// still on time.
	MaxEventGap time.Duration
	// Priority ranks the route; 0 is the highest.
	Priority int
	// Split divides the traffic over services by weight. It has one entry with weight 1
	// if the route names a single service.
	Split []WeightedService
	// MaxAttempts is the number of targets to which one request may be sent.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Resumable streams may be continued at another target.
	Resumable bool
	// HomeRegions are the regions in which requests may be served; empty means all.
	HomeRegions []string
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// WeightedService is a service with its weight in the traffic split of a route.
type WeightedService struct {
	Service string
	Weight  int
}

// Service is a group of interchangeable targets.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int
	// Warmup is how long a target is cold after its start.
	Warmup time.Duration
	// ColdRate is the number of requests per second that a cold target can handle.
	ColdRate float64
	// Engine is nil for a plain service.
	Engine *Engine
}

// Engine holds the capacity of a model engine.
type Engine struct {
	Slots int
	// CacheTokens is the memory for running requests and cached prompt segments.
	CacheTokens int64
}

// Workspace is a tenant with its API keys and rate limit.
type Workspace struct {
	Name     string
	Keys     []string
	Priority int
	// Rate is in tokens per second and Burst in tokens; zero means no limit.
	Rate, Burst float64
	// PerRequest means that the limits count requests instead of tokens.
	PerRequest bool
	// DefaultTokens is the cost of a request that does not state its number of tokens.
	DefaultTokens int64
	HomeRegions   []string
}

// Limits bound what a caller may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Index is a document with lookup tables. It is immutable.
type Index struct {
	*Document
	routes   map[string][]*Route // by lower-case host, longest prefix first
	services map[string]*Service
	byKey    map[string]*Workspace
	byName   map[string]*Workspace
}

// NewIndex returns the index of a valid document.
func NewIndex(d *Document) *Index {
	x := &Index{Document: d, routes: map[string][]*Route{}, services: map[string]*Service{}, byKey: map[string]*Workspace{}, byName: map[string]*Workspace{}}
	for i := range d.Routes {
		r := &d.Routes[i]
		host := strings.ToLower(r.Host)
		x.routes[host] = append(x.routes[host], r)
	}
	for _, routes := range x.routes {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range d.Services {
		x.services[d.Services[i].Name] = &d.Services[i]
	}
	for i := range d.Workspaces {
		w := &d.Workspaces[i]
		if x.byName[w.Name] == nil {
			x.byName[w.Name] = w
		}
		for _, k := range w.Keys {
			x.byKey[k] = w
		}
	}
	return x
}

// Route returns the route with the longest prefix of a path at a host name without
// port, or nil.
func (x *Index) Route(host, path string) *Route {
	for _, r := range x.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// RoutesForHost returns the routes of a host name, longest prefix first.
func (x *Index) RoutesForHost(host string) []*Route { return x.routes[strings.ToLower(host)] }

// Service returns the named service, or nil.
func (x *Index) Service(name string) *Service { return x.services[name] }

// WorkspaceByKey returns the workspace of an API key, or nil.
func (x *Index) WorkspaceByKey(key string) *Workspace { return x.byKey[key] }

// WorkspaceByName returns the named workspace, or nil. If several have the name, it
// returns the first.
func (x *Index) WorkspaceByName(name string) *Workspace { return x.byName[name] }

// AllowsRegion reports whether a request of the route and workspace may be served in a
// region. If both have home regions, the region must be in both lists. w may be nil.
func AllowsRegion(r *Route, w *Workspace, region string) bool {
	return homeRegionsAllow(r.HomeRegions, region) && (w == nil || homeRegionsAllow(w.HomeRegions, region))
}

func homeRegionsAllow(homes []string, region string) bool {
	return len(homes) == 0 || slices.Contains(homes, region)
}
