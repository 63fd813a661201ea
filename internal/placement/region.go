package placement

import "time"

const (
	// regionWay is the time to and from a host of another region.
	regionRTT = 130 * time.Millisecond
	// regionLoad is what each request that was sent to a region since its last known
	// load adds to the wait there. Other hosts of this region send as much, and the
	// targets there share it.
	sentRequestDelay = 12 * time.Millisecond
	// regionMemory bounds the time after which requests that were sent are in every
	// load that is known.
	sentWindow = 600 * time.Millisecond
	// regionAge is the age of a load after which it no longer counts.
	maxLoadAge = 2500 * time.Millisecond
)

// Load is how busy the targets of a service in a region are.
type Load struct {
	// Wait is the expected time to the first byte of a usual request, PerToken that
	// for each token of its answer.
	TTFB, TimePerToken time.Duration
	// At is when the load was measured.
	MeasuredAt time.Duration
}

// Region is what a host knows of another region, whose targets it reaches through
// the hosts there. Their reports are up to a second old; each answer of theirs brings
// a newer load.
type RemoteRegion struct {
	loads map[string]Load // by service
	sent  []time.Duration
}

// NewRegion returns a region of which nothing is known.
func NewRemoteRegion() *RemoteRegion { return &RemoteRegion{loads: map[string]Load{}} }

// Learn takes a load, unless a newer one is known.
func (r *RemoteRegion) UpdateLoad(service string, l Load) {
	if old, known := r.loads[service]; !known || l.MeasuredAt > old.MeasuredAt {
		r.loads[service] = l
	}
}

// Sent records that a request was sent there.
func (r *RemoteRegion) RecordSent(now time.Duration) {
	for len(r.sent) > 0 && now-r.sent[0] > sentWindow {
		r.sent = r.sent[1:]
	}
	r.sent = append(r.sent, now)
}

// ExpectIn returns what a request may expect in another region. It reports false when
// no load is known there.
func (p *Placer) EstimateRemote(now time.Duration, region *RemoteRegion, request *Request) (Estimate, bool) {
	load, known := region.loads[request.Service]
	if !known || now-load.MeasuredAt > maxLoadAge {
		return Estimate{}, false
	}
	ttfb := load.TTFB + regionRTT + time.Duration(region.sentSince(now, load.MeasuredAt))*sentRequestDelay
	idleTTFB := min(load.TTFB, time.Duration(p.engine.MinFirstToken)) + regionRTT
	if request.PromptTokens > 0 {
		// The load is that of a usual request.
		uncached := float64(request.PromptTokens) - (1-remoteMissFraction)*float64(sharedTokens(request.Segments))
		ttfb += time.Duration(p.engine.prefillTime(uncached - typicalPromptTokens))
		idleTTFB += time.Duration(p.engine.prefillTime(uncached))
	}
	return Estimate{TTFB: ttfb, Total: ttfb + time.Duration(request.OutputTokens)*load.TimePerToken, IdleTTFB: idleTTFB}, true
}

// unseen counts the requests that were sent too late to be in a load.
func (r *RemoteRegion) sentSince(now, at time.Duration) int {
	n := 0
	for _, sent := range r.sent {
		if now-sent <= sentWindow && sent+regionRTT/2 > at {
			n++
		}
	}
	return n
}

// RemotePatience is how long a request may wait for its first byte at the targets of
// another region, when its caller may be made to wait for the time.
func RemoteFirstByteLimit(limit time.Duration) time.Duration { return limit - regionRTT }
