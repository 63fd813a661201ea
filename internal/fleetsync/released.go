package fleetsync

import (
	"slices"
	"sync"
	"time"

	"geraniumturn.example/geraniumturn/internal/fleetsync/syncpb"
)

// releasedRates records since when this host has released rates, so that it does not tell
// that for ever: after releaseRetention nothing is reserved for it any more.
type releasedRates struct {
	mu sync.Mutex
	// unreleasedAt is when the host last told a demand for each workspace, or told of it for
	// the first time.
	unreleasedAt map[string]time.Duration
}

// trim removes the rates that were released long ago from the demands of a request.
func (r *releasedRates) trim(now time.Duration, in *syncpb.ExchangeRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.unreleasedAt == nil {
		r.unreleasedAt = map[string]time.Duration{}
	}
	in.Demands = slices.DeleteFunc(in.GetDemands(), func(d *syncpb.Demand) bool {
		at, known := r.unreleasedAt[d.GetWorkspace()]
		if !known || !d.GetReleased() {
			at = now
			r.unreleasedAt[d.GetWorkspace()] = now
		}
		return now-at > releaseRetention
	})
}
