package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"geraniumturn.example/geraniumturn/internal/targets"
)

const (
	announceInterval = time.Second
	announceTimeout  = 2 * time.Second
	sampleInterval   = 100 * time.Millisecond
)

// Run announces the target each second until ctx ends.
func (t *Target) Run(ctx context.Context) {
	announce := time.NewTicker(announceInterval)
	sample := time.NewTicker(sampleInterval)
	defer announce.Stop()
	defer sample.Stop()
	t.announce(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-sample.C:
			t.sample(now)
		case <-announce.C:
			t.announce(ctx)
		}
	}
}

// sample keeps load readings for as long as reports lag.
func (t *Target) sample(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.loads = append(t.loads, loadReading{now, int(t.running.Load()), int(t.queued.Load())})
	for len(t.loads) > 1 && now.Sub(t.loads[1].at) >= t.config.ReportLag {
		t.loads = t.loads[1:]
	}
}

func (t *Target) load() loadReading {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.loads) == 0 || t.config.ReportLag == 0 {
		return loadReading{time.Now(), int(t.running.Load()), int(t.queued.Load())}
	}
	return t.loads[0]
}

// announce tells the first entry host that answers.
func (t *Target) announce(ctx context.Context) {
	if t.silent.Load() {
		return
	}
	load := t.load()
	a := targets.Announcement{
		Name: t.config.Name, Incarnation: t.incarnation.Load(), Sequence: t.sequence.Add(1),
		Address: t.Address(), Pool: t.config.Pool, DataCentre: t.config.DataCentre, Models: t.config.Models,
		Slots: t.config.Slots, Running: load.running, Queued: load.queued, LagMS: t.config.ReportLag.Milliseconds(),
		FreeKVTokens: int64(t.config.CacheTokens), Features: []string{"priority", "cancel", "echo_request_id"},
		Leaving: t.leaving.Load(),
	}
	for _, address := range t.config.AnnounceTo {
		if t.post(ctx, address, "/targets/v1/announce", a) == nil {
			return
		}
	}
}

func (t *Target) post(ctx context.Context, address, path string, message any) error {
	body, err := json.Marshal(message)
	if err != nil {
		return fmt.Errorf("standin: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("standin: %w", err)
	}
	req.Header.Set("Authorization", "Bearer "+t.config.Token)
	req.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("standin: %w", err)
	}
	defer response.Body.Close()
	if response.StatusCode >= 300 {
		return fmt.Errorf("standin: %s got status %d", path, response.StatusCode)
	}
	return nil
}

// publishCache is a hook for cache events; the gateway learns prefixes from
// its own dispatches until it takes the events.
func (t *Target) publishCache(_, _ []uint64) {}
