package bench

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"geraniumturn.example/geraniumturn/client"
	"geraniumturn.example/geraniumturn/internal/rules"
)

// Load is one run of generated load.
type Load struct {
	Arrivals []Arrival
	// Warmup is the part of the run at the start that is not counted.
	Warmup time.Duration
	// Rules give the rate and burst of each workspace, to find the refusals within rate.
	Rules *rules.Set
	// Keys holds the API keys by workspace.
	Keys map[string]string
	// EntryHosts lists the addresses of the entry hosts by data centre. Callers in a
	// data centre use them as seeds for discovery.
	EntryHosts map[string][]string
}

// Run sends all arrivals at their scheduled times and waits until all have ended.
func (l *Load) Run(ctx context.Context) *Recorder {
	recorder := NewRecorder()
	withinRate := l.withinRate()
	clients := l.clientsByOrigin()
	var inFlight sync.WaitGroup
	start := time.Now()
	for i := range l.Arrivals {
		a := &l.Arrivals[i]
		if waitUntil(ctx, start.Add(a.At)) != nil {
			break
		}
		c := clients[a.Stream.Workspace+"/"+a.Stream.DataCentre]
		inFlight.Go(func() {
			o := send(ctx, c, a, start.Add(a.At))
			o.WithinRate = withinRate[i]
			if a.At >= l.Warmup {
				recorder.Add(o)
			}
		})
	}
	inFlight.Wait()
	return recorder
}

// withinRate reports for each arrival whether an ideal fleet-wide token bucket admits
// it. Requests that the bucket refuses consume no tokens.
func (l *Load) withinRate() []bool {
	buckets := map[string]*idealBucket{}
	out := make([]bool, len(l.Arrivals))
	for i, a := range l.Arrivals {
		w := l.Rules.Workspaces[a.Stream.Workspace]
		if w == nil {
			continue
		}
		b := buckets[w.Name]
		if b == nil {
			b = &idealBucket{rate: float64(w.Rate), burst: float64(w.Burst), level: float64(w.Burst)}
			buckets[w.Name] = b
		}
		out[i] = b.take(a.At, a.Cost)
	}
	return out
}

func (l *Load) clientsByOrigin() map[string]*client.Client {
	out := map[string]*client.Client{}
	for _, a := range l.Arrivals {
		name := a.Stream.Workspace + "/" + a.Stream.DataCentre
		if out[name] == nil {
			out[name] = client.New(l.Keys[a.Stream.Workspace], l.EntryHosts[a.Stream.DataCentre]...)
		}
	}
	return out
}

func waitUntil(ctx context.Context, at time.Time) error {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

func send(ctx context.Context, c *client.Client, a *Arrival, due time.Time) Outcome {
	o := Outcome{Workspace: a.Stream.Workspace, Class: a.Stream.Class}
	request := client.Request{
		Method: http.MethodPost, Path: a.Stream.Path, Body: []byte(a.Body), Idempotent: a.Stream.Idempotent,
		IdempotencyKey: a.IdempotencyKey, Timeout: a.Stream.Timeout, MaxAttempts: 2, ReturnRefusals: true,
		Header: http.Header{"Content-Type": {"application/json"}, "Geraniumturn-Class": {a.Stream.Class}},
	}
	response, err := c.Do(ctx, request)
	if refused, ok := errors.AsType[*client.RefusalError](err); ok {
		o.Code, o.Ran = refused.Code, refused.Ran
		return o
	}
	if err != nil {
		o.Code = "unreachable"
		return o
	}
	defer response.Body.Close()
	buffer := make([]byte, 16<<10)
	_, err = response.Body.Read(buffer)
	o.FirstByte = time.Since(due)
	for err == nil {
		_, err = response.Body.Read(buffer)
	}
	o.Total = time.Since(due)
	if err != io.EOF {
		o.Code = "broken"
	} else if response.StatusCode >= 400 {
		o.Code = "target_status"
	}
	return o
}
