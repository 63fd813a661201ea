package placement

import (
	"time"

	"geraniumturn.example/geraniumturn/internal/engine"
)

const (
	// regionRTT is the assumed round-trip time to a host of another region.
	regionRTT = 130 * time.Millisecond
	// sentRequestDelay is added to the expected TTFB in a region for each request that
	// this host has sent there since its last known load was measured. It
	// accounts for the other hosts of this region, which are assumed to send as many, and
	// for the targets there, among which the requests are divided.
	sentRequestDelay = 12 * time.Millisecond
	// sentWindow is the time after which every known load already includes a sent request.
	sentWindow = 600 * time.Millisecond
	// maxLoadAge is the age above which a load is ignored.
	maxLoadAge = 2500 * time.Millisecond
)

// Load is the load of a service in a region.
type Load struct {
	// TTFB is the expected time to the first byte of a typical request, TimePerToken the
	// expected time per output token.
	TTFB, TimePerToken time.Duration
	// Short and Long are the expected times to the first byte of requests with a short and a
	// long prompt; 0 if unknown.
	Short, Long time.Duration
	// MeasuredAt is when the load was measured.
	MeasuredAt time.Duration
}

const (
	// shortPromptTokens and longPromptTokens are the prompts of the requests for which Short
	// and Long are estimated.
	shortPromptTokens = 300
	longPromptTokens  = 6000
	// roomBacklog is the time that a target needs for the prompts that it has not read at which
	// it offers no room.
	roomBacklog = 300 * time.Millisecond
)

// ttfbFor returns the expected time to the first byte of a request with so many prompt
// tokens that are not cached.
func (l Load) ttfbFor(rates engine.Rates, tokens float64) time.Duration {
	between := func(from, to float64, atFrom, atTo time.Duration) time.Duration {
		return atFrom + time.Duration((tokens-from)/(to-from)*float64(atTo-atFrom))
	}
	switch {
	case l.Short <= 0 || l.Long <= 0:
		return l.TTFB + rates.ReadTime(tokens-typicalPromptTokens, 0)
	case tokens <= shortPromptTokens:
		return l.Short
	case tokens <= typicalPromptTokens:
		return between(shortPromptTokens, typicalPromptTokens, l.Short, l.TTFB)
	case tokens <= longPromptTokens:
		return between(typicalPromptTokens, longPromptTokens, l.TTFB, l.Long)
	}
	return l.Long + rates.ReadTime(tokens-longPromptTokens, 0)
}

// RegionLoad returns the load of a service in this region, and false if no target can take a
// request.
func (p *Placer) RegionLoad(now time.Duration, service string) (Load, bool) {
	e, ok := p.TypicalEstimate(now, service)
	if !ok {
		return Load{}, false
	}
	l := Load{TTFB: e.TTFB, TimePerToken: e.TimePerToken(), MeasuredAt: now}
	short, ok := p.Choose(now, &Request{Service: service, PromptTokens: shortPromptTokens, OutputTokens: typicalOutputTokens, Objective: typicalObjective}, nil)
	if ok && short.Target.cache != nil {
		if long, ok := p.Choose(now, &Request{Service: service, PromptTokens: longPromptTokens, OutputTokens: typicalOutputTokens, Objective: typicalObjective}, nil); ok {
			l.Short, l.Long = short.TTFB, long.TTFB
		}
	}
	return l, true
}

// Room returns the work that the targets of a service in this region could take in addition
// without a noticeable wait, per second, in the unit of Work.
func (p *Placer) Room(now time.Duration, service string) float64 {
	view, room := p.viewOf(now, service), 0.0
	for _, t := range p.byService[service] {
		if !t.usable(now, false) || t.paced(now) || t.unreachable(now) {
			continue
		}
		u, _ := p.estimatedUsage(now, t, view)
		free := 1 - float64(u.Running)/float64(t.Slots)
		rate, perRequest := float64(t.Slots)*float64(time.Second)/p.expectedDuration(now, t, u), 1.0
		if t.cache != nil {
			rate, perRequest = t.readRate(now, u), typicalPromptTokens
			free = min(free, 1-u.PrefillTokens/(rate*roomBacklog.Seconds()), 1-float64(u.MemoryTokens)/(memoryFraction*float64(t.CacheTokens)))
		}
		rate *= max(0, free)
		if l := t.availability.limit.PerSecond; l > 0 {
			rate = min(rate, l*perRequest)
		}
		room += rate
	}
	return room
}

// Work returns the work of a request in another region: the prompt tokens that are read, or 1
// at a service without engines.
func (r *Request) Work() float64 {
	return max(1, float64(r.PromptTokens)-(1-remoteMissFraction)*float64(sharedTokens(r.Segments)))
}

// RemoteRegion holds the known loads of another region, whose targets this host
// reaches through the hosts there. Their reports are up to a second old; each response
// to a forwarded request carries a newer load.
type RemoteRegion struct {
	loads map[string]Load // by service
	sent  []time.Duration
}

// NewRemoteRegion returns a region without known loads.
func NewRemoteRegion() *RemoteRegion { return &RemoteRegion{loads: map[string]Load{}} }

// UpdateLoad sets the load of a service, unless a newer one is known.
func (r *RemoteRegion) UpdateLoad(service string, l Load) {
	old, known := r.loads[service]
	if known && l.MeasuredAt <= old.MeasuredAt {
		return
	}
	if l.Short <= 0 && old.Short > 0 {
		// A response has only the typical time: that of the other prompts changed with it.
		l.Short, l.Long = max(1, old.Short+l.TTFB-old.TTFB), max(1, old.Long+l.TTFB-old.TTFB)
	}
	r.loads[service] = l
}

// RecordSent records that a request was sent to the region.
func (r *RemoteRegion) RecordSent(now time.Duration) {
	for len(r.sent) > 0 && now-r.sent[0] > sentWindow {
		r.sent = r.sent[1:]
	}
	r.sent = append(r.sent, now)
}

// SentWithin reports whether a request was sent to the region within a time.
func (r *RemoteRegion) SentWithin(now, within time.Duration) bool {
	return len(r.sent) > 0 && now-r.sent[len(r.sent)-1] < within
}

// EstimateRemote returns the estimate for a request in another region. It reports
// false if no recent load of the service is known there.
func (p *Placer) EstimateRemote(now time.Duration, region *RemoteRegion, request *Request) (Estimate, bool) {
	load, known := region.loads[request.Service]
	if !known || now-load.MeasuredAt > maxLoadAge {
		return Estimate{}, false
	}
	ttfb := load.TTFB
	rates := p.calibration(request.Service).Rates(now)
	idleTTFB := min(load.TTFB, rates.First) + regionRTT
	if request.PromptTokens > 0 {
		// The load is the estimate for a typical request; adjust it to this prompt.
		uncached := float64(request.PromptTokens) - (1-remoteMissFraction)*float64(sharedTokens(request.Segments))
		ttfb = load.ttfbFor(rates, uncached)
		idleTTFB += rates.ReadTime(uncached, 0)
	}
	ttfb += regionRTT + time.Duration(region.sentSince(now, load.MeasuredAt))*sentRequestDelay
	return Estimate{TTFB: ttfb, Total: ttfb + time.Duration(request.expectedOutput())*load.TimePerToken, IdleTTFB: idleTTFB}, true
}

// ServedIn reports whether a target in another region may serve the request.
func (p *Placer) ServedIn(region string, r *Request) bool {
	for _, t := range p.remoteByService[r.Service] {
		if t.Region == region && r.Allows(t) {
			return true
		}
	}
	return false
}

// sentSince counts the recent requests that had not reached the region at a time, so
// that a load measured then does not include them.
func (r *RemoteRegion) sentSince(now, at time.Duration) int {
	n := 0
	for _, sent := range r.sent {
		if now-sent <= sentWindow && sent+regionRTT/2 > at {
			n++
		}
	}
	return n
}

// RemoteFirstByteLimit returns the TTFB limit at the targets of another region for a
// limit at this host.
func RemoteFirstByteLimit(limit time.Duration) time.Duration { return limit - regionRTT }
