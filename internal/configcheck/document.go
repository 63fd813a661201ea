package configcheck

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"

	"geraniumturn.example/geraniumturn/internal/document"
)

// Document examines a document that hosts accept.
func Document(d *document.Document, site Site, locate Locate) []Finding {
	c := &documentCheck{index: document.NewIndex(d), site: site, locate: locate}
	for i := range d.Routes {
		c.place = document.Place{Section: document.RouteSection, Position: i, Name: d.Routes[i].Name}
		c.routeMatch(&d.Routes[i])
		c.routeLimits(&d.Routes[i])
	}
	for i := range d.Services {
		c.place = document.Place{Section: document.ServiceSection, Position: i, Name: d.Services[i].Name}
		c.service(&d.Services[i])
	}
	for i := range d.Workspaces {
		c.place = document.Place{Section: document.WorkspaceSection, Position: i, Name: d.Workspaces[i].Name}
		c.workspace(&d.Workspaces[i])
	}
	c.place = document.Place{Section: document.LimitsSection}
	if body := d.Limits.MaxBodyBytes; site.MemoryBytes > 0 && body > site.MemoryBytes {
		c.add("MaxBodyBytes", "lower it, also below what a host keeps for bodies", "the limit of %d bytes is above the memory of a host, %d", body, site.MemoryBytes)
	}
	return sorted(c.findings)
}

type documentCheck struct {
	index    *document.Index
	site     Site
	locate   Locate
	place    document.Place
	findings []Finding
}

func (c *documentCheck) add(field, mend, format string, args ...any) {
	place := c.place
	place.Field = field
	line, name := c.locate(place)
	c.findings = append(c.findings, Finding{Severity: Warning, Line: line, Entry: place.String(), Field: name,
		Message: fmt.Sprintf(format, args...), Mend: mend})
}

func (c *documentCheck) routeMatch(r *document.Route) {
	if _, err := netip.ParseAddr(r.Host); err != nil && strings.ContainsAny(r.Host, ":/ ") {
		c.add("Host", "use the host name only", "it never matches: requests are matched by host name without port, not %q", r.Host)
	}
	for _, s := range r.Split {
		if s.Weight == 0 {
			c.add("Split", "give it a weight, or remove it", "service %s has the weight 0 and gets no requests", s.Service)
		}
	}
	c.homes(r.HomeRegions)
	var excluded []string
	for i := range c.index.Workspaces {
		if w := &c.index.Workspaces[i]; !r.Public && contradict(r, w) {
			excluded = append(excluded, w.Name)
		}
	}
	if len(excluded) > 0 {
		c.add("HomeRegions", "add a region that both have", "no region is a home of the route and of workspace %s: their requests are always refused", nameList(excluded))
	}
}

// contradict reports whether no region may serve requests of the route and workspace.
func contradict(r *document.Route, w *document.Workspace) bool {
	if len(r.HomeRegions) == 0 || len(w.HomeRegions) == 0 {
		return false
	}
	return !slices.ContainsFunc(r.HomeRegions, func(region string) bool { return document.AllowsRegion(r, w, region) })
}

func (c *documentCheck) homes(regions []string) {
	if names := missing(regions, c.site.Regions); len(names) > 0 {
		c.add("HomeRegions", "correct the name, or remove it", "no data centre is in region %s", nameList(names))
	}
}

func (c *documentCheck) routeLimits(r *document.Route) {
	switch {
	case r.FirstByteObjective <= 0:
		c.add("FirstByteObjective", "give the time within which responses should begin", "there is no objective: no response can be on time")
	case r.Timeout < r.FirstByteObjective:
		c.add("Timeout", "raise it above the objective", "the timeout of %s is below the objective for the first byte, %s", r.Timeout, r.FirstByteObjective)
	}
	switch {
	case r.MaxEventGap > r.Timeout:
		c.add("MaxEventGap", "lower it, or raise the timeout", "the gap of %s between events is above the timeout, %s", r.MaxEventGap, r.Timeout)
	case r.MaxEventGap > 0 && r.Kind != document.Streaming:
		c.add("MaxEventGap", "remove it, or make the route "+string(document.Streaming), "it has no effect: responses of kind %s have no events", r.Kind)
	}
	if r.MaxAttempts > 1 && !r.Repeatable() {
		c.add("MaxAttempts", "use 1", "%d attempts have no effect: a request of this route that may have run is not repeated", r.MaxAttempts)
	}
	if r.Resumable && r.Kind != document.Streaming {
		c.add("Resumable", "remove it", "it has no effect: only streams can be resumed")
	}
}

func (c *documentCheck) service(s *document.Service) {
	isUsed := slices.ContainsFunc(c.index.Routes, func(r document.Route) bool {
		return slices.ContainsFunc(r.Split, func(w document.WeightedService) bool { return w.Service == s.Name && w.Weight > 0 })
	})
	if !isUsed {
		c.add("Name", "name it in a route, or remove it", "it gets no requests: no route gives it a weight")
	}
	if s.Warmup > 0 && s.ColdRate <= 0 {
		c.add("ColdRate", "give the requests per second of a cold target, or no warm-up", "cold targets have a warm-up of %s but no limit", s.Warmup)
	}
	if s.Engine != nil && (s.Engine.Slots <= 0 || s.Engine.CacheTokens <= 0) {
		c.add("Engine", "give the capacity of one target", "an engine needs slots and memory for tokens, it has %d and %d", s.Engine.Slots, s.Engine.CacheTokens)
	}
}

func (c *documentCheck) workspace(w *document.Workspace) {
	if first := c.index.WorkspaceByName(w.Name); first != w {
		c.add("Name", "join the two entries", "the workspace is listed twice; its limits may come from either entry")
	}
	if len(w.Keys) == 0 {
		c.add("Keys", "add a key, or remove the workspace", "no request belongs to the workspace: it has no key")
	}
	if slices.Contains(w.Keys, "") {
		c.add("Keys", "remove the empty key", "the empty key admits requests without a key")
	}
	c.homes(w.HomeRegions)
	cost, unit := float64(w.DefaultTokens), "tokens"
	if w.PerRequest {
		cost, unit = 1, "requests"
	}
	switch {
	case w.Rate <= 0 && w.Burst > 0:
		c.add("Rate", "give a rate, or remove the burst", "there is no limit without a rate; the burst has no effect")
	case w.Rate <= 0:
	case w.Burst < cost || w.Burst <= 0:
		c.add("Burst", fmt.Sprintf("use at least %g", max(cost, 1)), "a burst of %g %s is below the cost of one request, %g", w.Burst, unit, cost)
	case w.Rate < cost:
		c.add("Rate", "raise it", "a rate of %g %s a second is below the cost of one request, %g", w.Rate, unit, cost)
	}
}

// Outdated is the finding for a document whose version is not above the one in force.
func Outdated(version, inForce uint64, locate Locate) Finding {
	line, field := locate(document.Place{Field: "Version"})
	return Finding{Severity: Warning, Line: line, Field: field, Message: fmt.Sprintf("version %d is not above the one in force, %d: hosts keep theirs", version, inForce),
		Mend: fmt.Sprintf("use at least %d", inForce+1)}
}

// TooLarge is the finding for a document of more bytes than hosts accept.
func TooLarge(bytes, limit int) Finding {
	return Finding{Severity: Error, Message: fmt.Sprintf("the document has %d bytes, more than the limit of %d", bytes, limit), Mend: "remove entries that are not used"}
}
