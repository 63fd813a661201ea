package routing

import (
	"context"
	"slices"
	"time"

	"geraniumturn.example/geraniumturn/internal/dispatch"
	"geraniumturn.example/geraniumturn/internal/refusal"
	"geraniumturn.example/geraniumturn/internal/rules"
	"geraniumturn.example/geraniumturn/internal/targets"
)

// Site is a host of another data centre that requests can be forwarded to.
type Site struct {
	dispatch.Host
	Region string
}

// Router chooses targets by least load and other data centres in a fixed order.
type Router struct {
	dataCentre string
	region     string
	table      *targets.Table
	// sites lists the hosts of other data centres that are believed alive.
	sites func() []Site
}

// New returns a router for a host in the data centre.
func New(dataCentre, region string, table *targets.Table, sites func() []Site) *Router {
	return &Router{dataCentre: dataCentre, region: region, table: table, sites: sites}
}

// noTargetRetry is how long a target needs at most to announce itself anew.
const noTargetRetry = targets.SilenceLimit

// Choose implements dispatch.Chooser.
func (r *Router) Choose(_ context.Context, req *dispatch.Request, tried dispatch.Tried) (dispatch.Choice, error) {
	if target := r.local(req, tried); target != nil {
		return dispatch.Choice{Target: target}, nil
	}
	if host := r.remote(req, tried); host != nil {
		return dispatch.Choice{Host: host}, nil
	}
	return dispatch.Choice{}, refusal.New(refusal.NoTarget, refusal.NotRun,
		"no target of pool %s is available", req.Pool).WithRetry(noTargetRetry)
}

func (r *Router) local(req *dispatch.Request, tried dispatch.Tried) *targets.Target {
	var best *targets.Target
	available := r.table.Available(time.Now(), req.Pool, req.Model)
	for i := range available {
		t := &available[i]
		if tried.Targets[t.Name] || !allowed(req, t.DataCentre) {
			continue
		}
		if best == nil || load(t) < load(best) {
			best = t
		}
	}
	return best
}

func load(t *targets.Target) float64 {
	return float64(t.InFlight+1) / float64(t.Slots)
}

func (r *Router) remote(req *dispatch.Request, tried dispatch.Tried) *dispatch.Host {
	if req.Forwarded() || req.Reach == rules.ReachDataCentre {
		return nil
	}
	for _, s := range r.sites() {
		if tried.DataCentres[s.DataCentre] || !allowed(req, s.DataCentre) {
			continue
		}
		if req.Reach == rules.ReachRegion && s.Region != r.region {
			continue
		}
		return &s.Host
	}
	return nil
}

func allowed(req *dispatch.Request, dataCentre string) bool {
	return len(req.Residency) == 0 || slices.Contains(req.Residency, dataCentre)
}
