package bench

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Stream is a kind of request that the callers of one workspace send from one
// data centre.
type Stream struct {
	Workspace  string
	DataCentre string
	// Path is the request path; engine paths get a chat body with Model.
	Path  string
	Model string
	// Class is interactive or batch.
	Class string
	// PerSecond is the mean arrival rate. It swings by Swing (0 to 1) around the
	// mean over Period, with the peak at Phase (0 to 1 of the period).
	PerSecond float64
	Swing     float64
	Period    time.Duration
	Phase     float64
	// From and Until bound the stream within the run; Until 0 means the end.
	From, Until time.Duration
	// Prefixes is the number of shared prompt prefixes of PrefixTokens tokens, of
	// which some are more popular than others.
	Prefixes     int
	PrefixTokens int
	// QuestionTokens follow the prefix and are never shared.
	QuestionTokens int
	MaxTokens      int
	Streamed       bool
	// Idempotent is false for filings and orders, which get an Idempotency-Key.
	Idempotent bool
	Timeout    time.Duration
}

// Arrival is one request of the schedule.
type Arrival struct {
	At             time.Duration
	Stream         *Stream
	Body           string
	Cost           int64
	IdempotencyKey string
}

const bytesPerToken = 4

// Schedule makes the arrivals of all streams up to the duration, in order of
// time. The same seed gives the same schedule.
func Schedule(seed uint64, streams []Stream, duration time.Duration) []Arrival {
	var out []Arrival
	for i := range streams {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		out = append(out, streams[i].arrivals(random, i, duration)...)
	}
	slices.SortStableFunc(out, func(a, b Arrival) int { return int(a.At - b.At) })
	return out
}

// arrivals draws a Poisson process whose rate swings, by thinning.
func (s *Stream) arrivals(random *rand.Rand, number int, duration time.Duration) []Arrival {
	end := duration
	if s.Until > 0 {
		end = min(end, s.Until)
	}
	peak := s.PerSecond * (1 + s.Swing)
	var out []Arrival
	for at := s.From; ; {
		at += time.Duration(random.ExpFloat64() / peak * float64(time.Second))
		if at >= end {
			return out
		}
		if random.Float64()*peak > s.rate(at) {
			continue
		}
		out = append(out, s.arrival(random, number, len(out), at))
	}
}

func (s *Stream) rate(at time.Duration) float64 {
	if s.Period <= 0 {
		return s.PerSecond
	}
	angle := 2 * math.Pi * (float64(at)/float64(s.Period) - s.Phase)
	return s.PerSecond * (1 + s.Swing*math.Cos(angle))
}

func (s *Stream) arrival(random *rand.Rand, stream, n int, at time.Duration) Arrival {
	a := Arrival{At: at, Stream: s, Cost: 1}
	if s.Model == "" {
		a.Body = fmt.Sprintf(`{"stream":%d,"number":%d,"arrivals":%d}`, stream, n, random.IntN(1000))
		if !s.Idempotent {
			a.IdempotencyKey = fmt.Sprintf("op-%d-%d", stream, n)
		}
		return a
	}
	prompt := s.prompt(random, fmt.Sprintf("%d-%d", stream, n))
	body, err := json.Marshal(map[string]any{
		"model": s.Model, "max_tokens": s.MaxTokens, "stream": s.Streamed, "prompt": prompt,
	})
	if err != nil {
		panic(fmt.Sprintf("bench: marshal body: %v", err))
	}
	a.Body = string(body)
	a.Cost = int64((len(prompt)+2)/bytesPerToken) + 1 + int64(s.MaxTokens)
	return a
}

// prompt joins a shared prefix, chosen with a Zipf-like popularity, and a
// question that no other request has.
func (s *Stream) prompt(random *rand.Rand, id string) string {
	prefix := ""
	if s.Prefixes > 0 {
		rank := int(math.Pow(float64(s.Prefixes), random.Float64())) - 1
		prefix = filler(fmt.Sprintf("%s bulletin %d ", s.Workspace, rank), s.PrefixTokens)
	}
	return prefix + filler("question "+id+" ", s.QuestionTokens)
}

func filler(text string, tokens int) string {
	want := tokens * bytesPerToken
	return strings.Repeat(text, want/len(text)+1)[:want]
}
