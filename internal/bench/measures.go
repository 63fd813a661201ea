package bench

import (
	"time"

	"geraniumturn.example/geraniumturn/internal/standin"
)

// Measures are the five measures of one run (see the package comment) and the counts
// from which they are computed.
type Measures struct {
	Scenario string `json:"scenario"`
	Policy   string `json:"policy"`
	Seed     uint64 `json:"seed"`

	Requests  int64 `json:"requests"`
	Completed int64 `json:"whole"`
	// Refusals counts the requests without a complete response, by code.
	Refusals map[string]int64 `json:"refusals"`

	// Cost: busy slot time of the engines per 1,000 output tokens, and the share
	// of prompt tokens that were found in a cache.
	SlotSecondsPer1000 float64 `json:"slot_seconds_per_1000_tokens"`
	CachedShare        float64 `json:"cached_share"`

	// Tail latency of interactive requests.
	FirstByteP50 time.Duration `json:"first_byte_p50_ns"`
	FirstByteP95 time.Duration `json:"first_byte_p95_ns"`
	FirstByteP99 time.Duration `json:"first_byte_p99_ns"`
	TotalP99     time.Duration `json:"whole_p99_ns"`

	// SentAwayShare is the share of responses that came from another data centre.
	SentAwayShare float64 `json:"sent_away_share"`

	// The worst-served workspace: the highest p99 latency to the first byte, and the
	// lowest share of requests within rate that got a complete response.
	WorstLatencyWorkspace  string        `json:"worst_workspace"`
	WorstFirstByteP99      time.Duration `json:"worst_first_byte_p99_ns"`
	WorstAnsweredShare     float64       `json:"worst_answered_share"`
	WorstAnsweredWorkspace string        `json:"worst_answered_workspace"`
	RefusedWithinRate      int64         `json:"refused_within_rate"`
	RefusedWithinShare     float64       `json:"refused_within_share"`
	OperationsRepeated     int64         `json:"operations_repeated"`
	TargetRequests         int64         `json:"target_requests"`
	RequestsPerAnswered    float64       `json:"target_requests_per_answer"`
}

// Measure computes the measures of a run. The abusive workspace is excluded from the
// worst-served workspace and from the refusals within rate.
func Measure(s *Scenario, r *Recorder, totals standin.Totals, sentAway, repeated int64) Measures {
	m := Measures{
		Scenario: s.Name, Requests: r.All.Requests, Completed: r.All.Completed, Refusals: r.All.Codes,
		FirstByteP50: Quantile(r.Interactive.FirstByte, 50), FirstByteP95: Quantile(r.Interactive.FirstByte, 95),
		FirstByteP99: Quantile(r.Interactive.FirstByte, 99), TotalP99: Quantile(r.Interactive.Total, 99),
		OperationsRepeated: repeated, TargetRequests: totals.Requests, WorstAnsweredShare: 1,
	}
	m.SlotSecondsPer1000 = ratio(float64(totals.BusyMicros)/1e6*1000, float64(totals.OutputTokens))
	m.CachedShare = ratio(float64(totals.CachedTokens), float64(totals.PromptTokens))
	m.SentAwayShare = ratio(float64(sentAway), float64(r.All.Completed))
	m.RequestsPerAnswered = ratio(float64(totals.Requests), float64(r.All.Completed))
	var withinRate int64
	for name, t := range r.Workspaces {
		if name == s.Abusive {
			continue
		}
		withinRate += t.WithinRate
		m.RefusedWithinRate += t.RefusedWithinRate
		m.updateWorst(name, t)
	}
	m.RefusedWithinShare = ratio(float64(m.RefusedWithinRate), float64(withinRate))
	return m
}

func (m *Measures) updateWorst(name string, t *Tally) {
	if p99 := Quantile(t.FirstByte, 99); p99 > m.WorstFirstByteP99 {
		m.WorstLatencyWorkspace, m.WorstFirstByteP99 = name, p99
	}
	answered := 1 - ratio(float64(t.RefusedWithinRate), float64(t.WithinRate))
	if answered < m.WorstAnsweredShare {
		m.WorstAnsweredWorkspace, m.WorstAnsweredShare = name, answered
	}
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
