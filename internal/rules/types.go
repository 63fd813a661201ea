package rules

import (
	"slices"
	"strings"
	"time"
)

// PoolKind is the protocol that the targets of a pool serve.
type PoolKind string

const (
	// Engine targets serve the chat and completion API of model engines.
	Engine PoolKind = "engine"
	// Service targets are plain HTTP services with opaque bodies.
	Service PoolKind = "service"
)

// Class is the scheduling class of a request.
type Class string

const (
	// Interactive requests have a user waiting for the response.
	Interactive Class = "interactive"
	// Batch requests tolerate latency but must complete.
	Batch Class = "batch"
)

// Reach limits how far from its entry host a request may be routed.
type Reach string

const (
	// ReachDataCentre restricts the request to the entry host's data centre.
	ReachDataCentre Reach = "dc"
	// ReachRegion restricts it to the entry host's region.
	ReachRegion Reach = "region"
	// ReachAny allows every data centre that the workspace's residency allows.
	ReachAny Reach = "any"
)

// Workspace is a tenant. Each caller key belongs to one workspace.
type Workspace struct {
	Name string
	// Rate is the fleet-wide refill rate of the token bucket, in tokens per second.
	Rate int64
	// Burst is the capacity of the token bucket, in tokens.
	Burst int64
	// Weight is the relative share under contention; the default is 1.
	Weight int
	// Home is the preferred data centre, or empty.
	Home string
	// Residency lists the data centres that the workspace's data may enter. Empty
	// means all.
	Residency []string
	Requester string
}

// Allows reports whether the workspace's data may pass through or be stored in
// dataCentre.
func (w *Workspace) Allows(dataCentre string) bool { return Allows(w.Residency, dataCentre) }

// Allows reports whether a residency list allows the data centre. An empty list
// allows all.
func Allows(residency []string, dataCentre string) bool {
	return len(residency) == 0 || slices.Contains(residency, dataCentre)
}

// Pool is a set of interchangeable targets.
type Pool struct {
	Name      string
	Kind      PoolKind
	Requester string
}

// Model maps a model name in a request body to a pool.
type Model struct {
	Name      string
	Pool      string
	Requester string
}

// Route configures how requests on a path are served.
type Route struct {
	// Path is an exact path, or a prefix when it ends in "/*".
	Path string
	// Pool serves the route. It is empty if the model in the request body selects
	// the pool.
	Pool       string
	Idempotent bool
	// Open routes need no caller key.
	Open  bool
	Class Class
	Reach Reach
	// Methods lists the allowed HTTP methods. Empty means all.
	Methods []string
	// Cost is the charge for a request to a pool of kind service, in tokens; the
	// default is 1.
	Cost int64
	// Timeout limits the duration of a request, unless the caller sets a shorter
	// timeout; the default is 120 s.
	Timeout   time.Duration
	Requester string
}

// Matches reports whether the route matches the path.
func (r *Route) Matches(path string) bool {
	if prefix, ok := strings.CutSuffix(r.Path, "*"); ok {
		return strings.HasPrefix(path, prefix)
	}
	return r.Path == path
}

// AllowsMethod reports whether the route accepts the HTTP method.
func (r *Route) AllowsMethod(method string) bool {
	return len(r.Methods) == 0 || slices.Contains(r.Methods, method)
}

// Set is a validated rules file. It is immutable after Parse.
type Set struct {
	Workspaces map[string]*Workspace
	Pools      map[string]*Pool
	Models     map[string]*Model
	// Routes are in the order of the file.
	Routes []*Route
	lines  map[string]int // kind and name of a rule -> line
}

// Line returns the line of a rule in the file, or 0.
func (s *Set) Line(kind, name string) int { return s.lines[kind+" "+name] }

// Route returns the most specific route for the path: an exact match if there is
// one, otherwise the longest matching prefix. It returns nil if no route matches.
func (s *Set) Route(path string) *Route {
	var longestPrefix *Route
	for _, r := range s.Routes {
		if !r.Matches(path) {
			continue
		}
		if r.Path == path {
			return r
		}
		if longestPrefix == nil || len(r.Path) > len(longestPrefix.Path) {
			longestPrefix = r
		}
	}
	return longestPrefix
}

// EmptySet returns a set without rules.
func EmptySet() *Set {
	return &Set{Workspaces: map[string]*Workspace{}, Pools: map[string]*Pool{}, Models: map[string]*Model{}}
}
