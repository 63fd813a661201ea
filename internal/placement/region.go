package placement

import "time"

const (
	// regionWay is the time to and from a host of another region.
	regionWay = 130 * time.Millisecond
	// regionLoad is what each request that was sent to a region since its last known
	// load adds to the wait there. Other hosts of this region send as much, and the
	// targets there share it.
	regionLoad = 12 * time.Millisecond
	// regionMemory bounds the time after which requests that were sent are in every
	// load that is known.
	regionMemory = 600 * time.Millisecond
	// regionAge is the age of a load after which it no longer counts.
	regionAge = 2500 * time.Millisecond
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
	for len(r.sent) > 0 && now-r.sent[0] > regionMemory {
		r.sent = r.sent[1:]
	}
	r.sent = append(r.sent, now)
}

// ExpectIn returns what a request may expect in another region. It reports false when
// no load is known there.
func (p *Placer) EstimateRemote(now time.Duration, r *RemoteRegion, q *Request) (Estimate, bool) {
	l, known := r.loads[q.Service]
	if !known || now-l.MeasuredAt > regionAge {
		return Estimate{}, false
	}
	wait := l.TTFB + regionWay + time.Duration(r.unseen(now, l.MeasuredAt))*regionLoad
	alone := min(l.TTFB, time.Duration(p.engine.MinFirstToken)) + regionWay
	if q.PromptTokens > 0 {
		// The load is that of a usual request.
		unread := float64(q.PromptTokens) - (1-remoteMiss)*float64(sharedTokens(q.Segments))
		wait += time.Duration(p.engine.readTime(unread - usualPrompt))
		alone += time.Duration(p.engine.readTime(unread))
	}
	return Estimate{TTFB: wait, Total: wait + time.Duration(q.OutputTokens)*l.TimePerToken, IdleTTFB: alone}, true
}

// unseen counts the requests that were sent too late to be in a load.
func (r *RemoteRegion) unseen(now, at time.Duration) int {
	n := 0
	for _, sent := range r.sent {
		if now-sent <= regionMemory && sent+regionWay/2 > at {
			n++
		}
	}
	return n
}

// RemotePatience is how long a request may wait for its first byte at the targets of
// another region, when its caller may be made to wait for the time.
func RemoteFirstByteLimit(patience time.Duration) time.Duration { return patience - regionWay }
