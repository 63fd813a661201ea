package routing

import (
	"math"
	"time"

	"geraniumturn.example/geraniumturn/internal/dispatch"
	"geraniumturn.example/geraniumturn/internal/rules"
	"geraniumturn.example/geraniumturn/internal/targets"
)

const (
	// defaultService and defaultPrefill stand for measured times until the
	// first answers of a pool.
	defaultService = 500 * time.Millisecond
	defaultPrefill = 100 * time.Microsecond
	// estimateWeight is the weight of the newest sample in the averages.
	estimateWeight = 0.05
	// minUncached is the smallest uncached prompt from which a prefill time is
	// taken; with fewer tokens the first byte shows mostly other delays.
	minUncached = 128
	// maxKeys bounds the pools and models that are remembered.
	maxKeys = 512
)

// estimate holds measured times of one pool and model.
type estimate struct{ service, prefill float64 }

func (e *estimate) add(average *float64, sample time.Duration) {
	if *average == 0 {
		*average = float64(sample)
		return
	}
	*average += estimateWeight * (float64(sample) - *average)
}

func (r *Router) work(k key, req *dispatch.Request) *RequestProfile {
	w := &RequestProfile{Prefixes: req.Prefixes, Prefill: defaultPrefill, Service: defaultService}
	if req.Kind == rules.Engine {
		w.PromptTokens = int64(len(req.Body) / bytesPerToken)
		w.OutputTokens = max(req.Cost-w.PromptTokens, 1)
	}
	if e := r.models[k]; e != nil {
		if e.service > 0 {
			w.Service = time.Duration(e.service)
		}
		if e.prefill > 0 {
			w.Prefill = time.Duration(e.prefill)
		}
	}
	return w
}

// ageLoads corrects the counts of other hosts for their age: after several
// service times the requests that a count stands for have ended, and the
// average says more about the current load than the count does.
func ageLoads(candidates []targets.Candidate, service time.Duration) {
	for i := range candidates {
		c := &candidates[i]
		if c.RemoteLoad == 0 && c.RemoteLoadMean < 0.5 {
			continue
		}
		fresh := math.Exp(-float64(c.RemoteLoadAge) / float64(max(service, time.Millisecond)))
		c.Load = c.InFlight + int(math.Round(fresh*float64(c.RemoteLoad)+(1-fresh)*c.RemoteLoadMean))
	}
}

// AttemptBegins implements dispatch.Observer.
func (r *Router) AttemptBegins(req *dispatch.Request, t *targets.Target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	tokens := int64(0)
	u := r.under[req.ID]
	if u != nil {
		tokens = u.uncached
	}
	probe := r.config.Table.Begin(r.now(), t.Name, t.Incarnation, tokens, req.Prefixes)
	if u != nil {
		u.probe = probe
	}
}

// AttemptEnded implements dispatch.Observer.
func (r *Router) AttemptEnded(o dispatch.Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	u := r.under[o.Request.ID]
	delete(r.under, o.Request.ID)
	r.config.Table.End(r.now(), o.Target, o.Incarnation, resultOf(&o), u != nil && u.probe)
	if !o.Complete || u == nil || u.site != nil {
		return
	}
	r.learn(u, &o)
}

// resultOf tells what an outcome shows about its target. A refusal for load
// shows nothing; a connection that could not be opened is a failure.
func resultOf(o *dispatch.Outcome) targets.Result {
	switch {
	case o.Complete && o.Status < 500:
		return targets.Succeeded
	case o.Cancelled, o.Status == 429, o.Status == 503:
		return targets.Neutral
	}
	return targets.Failed
}

// learn updates the averages from an answer that did not wait in a queue.
func (r *Router) learn(u *underWay, o *dispatch.Outcome) {
	if !u.room {
		return
	}
	e, ok := r.models[u.key]
	if !ok {
		if len(r.models) >= maxKeys {
			return
		}
		e = &estimate{}
		r.models[u.key] = e
	}
	e.add(&e.service, o.Duration)
	streamed := o.FirstByte > 0 && o.FirstByte < o.Duration*9/10
	if streamed && u.uncached >= minUncached {
		e.add(&e.prefill, o.FirstByte/time.Duration(u.uncached))
	}
}
