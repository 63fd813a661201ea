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

// Outcome is what happened to one request.
type Outcome struct {
	Workspace string
	Class     string
	// FirstByte and Whole count from the scheduled time of the request.
	FirstByte time.Duration
	Whole     time.Duration
	// Code is empty for a whole answer, else the refusal code, "broken" or "unreachable".
	Code string
	// Ran is what a refusal said about execution.
	Ran string
	// WithinRate is true when the request fitted into its workspace's rate and burst.
	WithinRate bool
	Host       string
}

// Tally counts the outcomes of one group of requests.
type Tally struct {
	Requests   int64
	Whole      int64
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
		t.Whole++
		_ = t.FirstByte.RecordValue(max(1, o.FirstByte.Microseconds()))
		_ = t.Total.RecordValue(max(1, o.Whole.Microseconds()))
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

// Recorder collects outcomes from many goroutines.
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

// Add counts one outcome.
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

// idealBucket is a token bucket over the whole fleet with no cost of
// distribution. It tells which requests are within their workspace's rate.
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
