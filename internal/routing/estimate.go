package routing

import (
	"math"
	"time"

	"geraniumturn.example/geraniumturn/internal/dispatch"
	"geraniumturn.example/geraniumturn/internal/rules"
	"geraniumturn.example/geraniumturn/internal/targets"
)

const (
	// defaultService and defaultPrefill are the assumed times until the first
	// responses of a pool are measured.
	defaultService = 500 * time.Millisecond
	defaultPrefill = 100 * time.Microsecond
	// estimateWeight is the weight of the newest sample in the moving averages.
	estimateWeight = 0.05
	// minUncachedTokens is the minimum number of uncached prompt tokens for a prefill
	// sample. With fewer tokens, other delays dominate the time to first byte.
	minUncachedTokens = 128
	// maxServiceKeys bounds the pools and models for which state is kept.
	maxServiceKeys = 512
)

// timeEstimate holds moving averages of the measured times of one pool and model, in
// nanoseconds: the service time, and the prefill time per uncached prompt token.
type timeEstimate struct{ service, prefill float64 }

func (e *timeEstimate) add(average *float64, sample time.Duration) {
	if *average == 0 {
		*average = float64(sample)
		return
	}
	*average += estimateWeight * (float64(sample) - *average)
}

func (r *Router) requestProfile(k serviceKey, req *dispatch.Request) *RequestProfile {
	profile := &RequestProfile{Prefixes: req.Prefixes, Prefill: defaultPrefill, Service: defaultService}
	if req.Kind == rules.Engine {
		profile.PromptTokens = int64(len(req.Body) / bytesPerToken)
		profile.OutputTokens = max(req.Cost-profile.PromptTokens, 1)
	}
	if e := r.estimates[k]; e != nil {
		if e.service > 0 {
			profile.Service = time.Duration(e.service)
		}
		if e.prefill > 0 {
			profile.Prefill = time.Duration(e.prefill)
		}
	}
	return profile
}

// decayRemoteLoads replaces the in-flight counts of other hosts by their moving average
// as the counts age. After several service times the counted requests have ended, and
// the average is the better estimate of the current load.
func decayRemoteLoads(candidates []targets.Candidate, service time.Duration) {
	for i := range candidates {
		c := &candidates[i]
		if c.RemoteLoad == 0 && c.RemoteLoadMean < 0.5 {
			continue
		}
		countWeight := math.Exp(-float64(c.RemoteLoadAge) / float64(max(service, time.Millisecond)))
		c.Load = c.InFlight + int(math.Round(countWeight*float64(c.RemoteLoad)+(1-countWeight)*c.RemoteLoadMean))
	}
}

// AttemptBegins implements dispatch.Observer.
func (r *Router) AttemptBegins(req *dispatch.Request, t *targets.Target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	tokens := int64(0)
	step := r.inFlight[req.ID]
	if step != nil {
		tokens = step.uncachedTokens
	}
	probe := r.config.Table.Begin(r.now(), t.Name, t.Incarnation, tokens, req.Prefixes)
	if step != nil {
		step.probe = probe
	}
}

// AttemptEnded implements dispatch.Observer.
func (r *Router) AttemptEnded(o dispatch.Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	step := r.inFlight[o.Request.ID]
	delete(r.inFlight, o.Request.ID)
	r.config.Table.End(r.now(), o.Target, o.Incarnation, resultOf(&o), step != nil && step.probe)
	if !o.Complete || step == nil || step.dataCentre != nil {
		return
	}
	r.updateEstimate(step, &o)
}

// resultOf returns the health check result of an outcome for its target. A refusal
// because of load is neutral; a connection that could not be opened is a failure.
func resultOf(o *dispatch.Outcome) targets.Result {
	switch {
	case o.Complete && o.Status < 500:
		return targets.Succeeded
	case o.Cancelled, o.Status == 429, o.Status == 503:
		return targets.Neutral
	}
	return targets.Failed
}

// updateEstimate updates the moving averages from a response that did not wait in a
// queue.
func (r *Router) updateEstimate(step *inFlightStep, o *dispatch.Outcome) {
	if !step.hadRoom {
		return
	}
	e, ok := r.estimates[step.key]
	if !ok {
		if len(r.estimates) >= maxServiceKeys {
			return
		}
		e = &timeEstimate{}
		r.estimates[step.key] = e
	}
	e.add(&e.service, o.Duration)
	streamed := o.FirstByte > 0 && o.FirstByte < o.Duration*9/10
	if streamed && step.uncachedTokens >= minUncachedTokens {
		e.add(&e.prefill, o.FirstByte/time.Duration(step.uncachedTokens))
	}
}
