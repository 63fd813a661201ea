package bench

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	histogramMaxMicros = int64(10 * time.Minute / time.Microsecond)
	histogramDigits    = 3
)

// Outcome is the result of one request.
type Outcome struct {
	Workspace string
	Class     string
	// FirstByte and Total are latencies, counted from the scheduled time of the request.
	FirstByte time.Duration
	Total     time.Duration
	// Code is empty for a complete successful response. Otherwise it is the refusal
	// code, or "broken" (cut off), "target_status" (error status of the target) or
	// "unreachable".
	Code string
	// Ran tells whether a refused request ran, as reported by the gateway.
	Ran string
	// WithinRate reports whether the request was within the rate and burst of its
	// workspace.
	WithinRate bool
	Host       string
}

// Tally aggregates the outcomes of one group of requests.
type Tally struct {
	Requests   int64
	Completed  int64
	WithinRate int64
	// RefusedWithinRate counts refusals and failures of requests within rate.
	RefusedWithinRate int64
	Codes             map[string]int64
	FirstByte         *hdrhistogram.Histogram
	Total             *hdrhistogram.Histogram
}

func newTally() *Tally {
	return &Tally{
		Codes:     map[string]int64{},
		FirstByte: hdrhistogram.New(1, histogramMaxMicros, histogramDigits),
		Total:     hdrhistogram.New(1, histogramMaxMicros, histogramDigits),
	}
}

func (t *Tally) add(o Outcome) {
	t.Requests++
	if o.WithinRate {
		t.WithinRate++
	}
	if o.Code == "" {
		t.Completed++
		_ = t.FirstByte.RecordValue(max(1, o.FirstByte.Microseconds()))
		_ = t.Total.RecordValue(max(1, o.Total.Microseconds()))
		return
	}
	t.Codes[o.Code]++
	if o.WithinRate {
		t.RefusedWithinRate++
	}
}

// Quantile returns a quantile (0 to 100) of the histogram.
func Quantile(h *hdrhistogram.Histogram, q float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
}

// Recorder aggregates outcomes. Add is safe for concurrent use.
type Recorder struct {
	mu          sync.Mutex
	All         *Tally
	Interactive *Tally
	Workspaces  map[string]*Tally
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder {
	return &Recorder{All: newTally(), Interactive: newTally(), Workspaces: map[string]*Tally{}}
}

// Add records one outcome.
func (r *Recorder) Add(o Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.All.add(o)
	if o.Class != "batch" {
		r.Interactive.add(o)
	}
	if r.Workspaces[o.Workspace] == nil {
		r.Workspaces[o.Workspace] = newTally()
	}
	r.Workspaces[o.Workspace].add(o)
}

// idealBucket is one token bucket for the whole fleet, without the error of a
// distributed limiter. It decides which requests are within the rate of their
// workspace.
type idealBucket struct {
	rate, burst, level float64
	at                 time.Duration
}

func (b *idealBucket) take(at time.Duration, cost int64) bool {
	b.level = min(b.burst, b.level+b.rate*(at-b.at).Seconds())
	b.at = at
	if b.level < float64(cost) {
		return false
	}
	b.level -= float64(cost)
	return true
}
