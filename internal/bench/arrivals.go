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

// Stream describes requests of one kind that the callers of one workspace send from
// one data centre.
type Stream struct {
	Workspace  string
	DataCentre string
	// Path is the request path. A stream with a Model sends completion requests to
	// engines; a stream without one calls a plain service.
	Path  string
	Model string
	// Class is "interactive" or "batch".
	Class string
	// PerSecond is the mean arrival rate. With a Period, the rate follows a cosine
	// around the mean with a relative Amplitude (0 to 1); its peak is at Phase (0 to 1
	// of the period).
	PerSecond float64
	Amplitude float64
	Period    time.Duration
	Phase     float64
	// Start and End limit the stream to a part of the run; an End of 0 means the end
	// of the run.
	Start, End time.Duration
	// Prefixes is the number of shared prompt prefixes of PrefixTokens tokens. Their
	// popularity is skewed as in a Zipf distribution.
	Prefixes     int
	PrefixTokens int
	// QuestionTokens is the number of tokens after the prefix, unique to each request.
	QuestionTokens int
	MaxTokens      int
	Streamed       bool
	// Idempotent is false for requests that must run at most once; those to a plain
	// service get an Idempotency-Key.
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

// Schedule returns the arrivals of all streams up to the duration, ordered by time.
// The same seed gives the same schedule.
func Schedule(seed uint64, streams []Stream, duration time.Duration) []Arrival {
	var out []Arrival
	for i := range streams {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		out = append(out, streams[i].schedule(random, i, duration)...)
	}
	slices.SortStableFunc(out, func(a, b Arrival) int { return int(a.At - b.At) })
	return out
}

// schedule draws a Poisson process with a time-dependent rate by thinning.
func (s *Stream) schedule(random *rand.Rand, number int, duration time.Duration) []Arrival {
	end := duration
	if s.End > 0 {
		end = min(end, s.End)
	}
	peak := s.PerSecond * (1 + s.Amplitude)
	var out []Arrival
	for at := s.Start; ; {
		at += time.Duration(random.ExpFloat64() / peak * float64(time.Second))
		if at >= end {
			return out
		}
		if random.Float64()*peak > s.rateAt(at) {
			continue
		}
		out = append(out, s.newArrival(random, number, len(out), at))
	}
}

func (s *Stream) rateAt(at time.Duration) float64 {
	if s.Period <= 0 {
		return s.PerSecond
	}
	angle := 2 * math.Pi * (float64(at)/float64(s.Period) - s.Phase)
	return s.PerSecond * (1 + s.Amplitude*math.Cos(angle))
}

func (s *Stream) newArrival(random *rand.Rand, stream, n int, at time.Duration) Arrival {
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

// prompt returns a shared prefix, chosen with a Zipf-like popularity, followed by a
// unique question.
func (s *Stream) prompt(random *rand.Rand, id string) string {
	prefix := ""
	if s.Prefixes > 0 {
		rank := int(math.Pow(float64(s.Prefixes), random.Float64())) - 1
		prefix = fillerText(fmt.Sprintf("%s bulletin %d ", s.Workspace, rank), s.PrefixTokens)
	}
	return prefix + fillerText("question "+id+" ", s.QuestionTokens)
}

func fillerText(text string, tokens int) string {
	size := tokens * bytesPerToken
	return strings.Repeat(text, size/len(text)+1)[:size]
}
