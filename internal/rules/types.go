package rules

import (
	"slices"
	"strings"
	"time"
)

// PoolKind tells which protocol the targets of a pool speak.
type PoolKind string

const (
	// Engine targets speak the chat and completion protocol of model engines.
	Engine PoolKind = "engine"
	// Service targets are plain HTTP services with opaque bodies.
	Service PoolKind = "service"
)

// Class is the urgency of a request.
type Class string

const (
	// Interactive requests have somebody waiting for the answer.
	Interactive Class = "interactive"
	// Batch requests may be slow but must complete.
	Batch Class = "batch"
)

// Reach bounds how far from its entry host a request may be sent.
type Reach string

const (
	// ReachDataCentre keeps the request in the entry host's data centre.
	ReachDataCentre Reach = "dc"
	// ReachRegion keeps it in the entry host's region.
	ReachRegion Reach = "region"
	// ReachAny lets it go to every data centre that residency allows.
	ReachAny Reach = "any"
)

// Workspace is a tenant: callers show keys that belong to one.
type Workspace struct {
	Name string
	// Rate is the fleet-wide refill in tokens per second.
	Rate int64
	// Burst is the largest number of tokens that may be spent at once.
	Burst int64
	// Weight is the share under contention; the default is 1.
	Weight int
	// Home is the preferred data centre, or empty.
	Home string
	// Residency lists the data centres that the workspace's data may reach.
	// Empty means all.
	Residency []string
	Requester string
}

// Allows reports whether the workspace's data may pass or rest in dataCentre.
func (w *Workspace) Allows(dataCentre string) bool { return Allows(w.Residency, dataCentre) }

// Allows reports whether a residency covers the data centre. An empty residency
// covers all.
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

// Route says how requests on a path are served.
type Route struct {
	// Path is an exact path, or a prefix when it ends in "/*".
	Path string
	// Pool serves the route. It is empty on routes whose body names a model.
	Pool       string
	Idempotent bool
	// Open routes need no key.
	Open  bool
	Class Class
	Reach Reach
	// Methods lists the allowed HTTP methods. Empty means all.
	Methods []string
	// Cost is what a plain-service request is charged, in tokens; default 1.
	Cost int64
	// Timeout bounds a request whose caller gives no shorter one; default 120 s.
	Timeout   time.Duration
	Requester string
}

// Matches reports whether the route covers the path.
func (r *Route) Matches(path string) bool {
	if prefix, ok := strings.CutSuffix(r.Path, "*"); ok {
		return strings.HasPrefix(path, prefix)
	}
	return r.Path == path
}

// AllowsMethod reports whether the route takes the HTTP method.
func (r *Route) AllowsMethod(method string) bool {
	return len(r.Methods) == 0 || slices.Contains(r.Methods, method)
}

// Set is a checked rules file. It is not changed after Parse.
type Set struct {
	Workspaces map[string]*Workspace
	Pools      map[string]*Pool
	Models     map[string]*Model
	// Routes are in file order.
	Routes []*Route
}

// Route returns the most specific route for the path: an exact match before
// the longest prefix. It returns nil when no route covers the path.
func (s *Set) Route(path string) *Route {
	var best *Route
	for _, r := range s.Routes {
		if !r.Matches(path) {
			continue
		}
		if r.Path == path {
			return r
		}
		if best == nil || len(r.Path) > len(best.Path) {
			best = r
		}
	}
	return best
}

// EmptySet returns a set without rules.
func EmptySet() *Set {
	return &Set{Workspaces: map[string]*Workspace{}, Pools: map[string]*Pool{}, Models: map[string]*Model{}}
}
