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

// Run sends an announcement every announceInterval until ctx ends. It also records
// the load every sampleInterval, for announcements with a ReportLag.
func (t *Target) Run(ctx context.Context) {
	announceTicker := time.NewTicker(announceInterval)
	sampleTicker := time.NewTicker(sampleInterval)
	defer announceTicker.Stop()
	defer sampleTicker.Stop()
	t.announce(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-sampleTicker.C:
			t.recordLoad(now)
		case <-announceTicker.C:
			t.announce(ctx)
		}
	}
}

// recordLoad appends the current load and drops readings that are no longer needed
// for a report of age ReportLag.
func (t *Target) recordLoad(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.loadHistory = append(t.loadHistory, loadReading{now, int(t.running.Load()), int(t.queued.Load())})
	for len(t.loadHistory) > 1 && now.Sub(t.loadHistory[1].at) >= t.config.ReportLag {
		t.loadHistory = t.loadHistory[1:]
	}
}

func (t *Target) reportedLoad() loadReading {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.loadHistory) == 0 || t.config.ReportLag == 0 {
		return loadReading{time.Now(), int(t.running.Load()), int(t.queued.Load())}
	}
	return t.loadHistory[0]
}

// announce sends an announcement to the first entry host that accepts it.
func (t *Target) announce(ctx context.Context) {
	if t.announcementsOff.Load() {
		return
	}
	load := t.reportedLoad()
	a := targets.Announcement{
		Name: t.config.Name, Incarnation: t.incarnation.Load(), Sequence: t.sequence.Add(1),
		Address: t.Address(), Pool: t.config.Pool, DataCentre: t.config.DataCentre, Models: t.config.Models,
		Slots: t.config.Slots, Running: load.running, Queued: load.queued, LagMS: t.config.ReportLag.Milliseconds(),
		FreeKVTokens: int64(t.config.CacheTokens), Features: []string{"priority", "cancel", "echo_request_id"},
		Leaving: t.draining.Load(),
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

// publishCache is a placeholder for cache events. The gateway does not accept them
// yet; it derives the cached prefixes from its own dispatches.
func (t *Target) publishCache(_, _ []uint64) {}
