package placement

import "time"

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
	// MeasuredAt is when the load was measured.
	MeasuredAt time.Duration
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
	if old, known := r.loads[service]; !known || l.MeasuredAt > old.MeasuredAt {
		r.loads[service] = l
	}
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
	ttfb := load.TTFB + regionRTT + time.Duration(region.sentSince(now, load.MeasuredAt))*sentRequestDelay
	rates := p.calibration(request.Service).Rates(now)
	idleTTFB := min(load.TTFB, rates.First) + regionRTT
	if request.PromptTokens > 0 {
		// The load is the estimate for a typical request; adjust it to this prompt.
		uncached := float64(request.PromptTokens) - (1-remoteMissFraction)*float64(sharedTokens(request.Segments))
		ttfb += rates.ReadTime(uncached-typicalPromptTokens, 0)
		idleTTFB += rates.ReadTime(uncached, 0)
	}
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
