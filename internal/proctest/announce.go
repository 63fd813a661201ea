package proctest

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"geraniumturn.example/geraniumturn/internal/targets"
)

const announceInterval = time.Second

// Announce sends announcements of a target that the test itself runs, one a second,
// until the test ends or stop is called. Each goes to the first named host that accepts
// it. Name, address, pool and data centre must be set; a zero incarnation becomes the
// start time in nanoseconds.
func (f *Fleet) Announce(a targets.Announcement, to ...string) (stop func()) {
	f.t.Helper()
	if a.Slots == 0 {
		a.Slots = 8
	}
	if a.Incarnation == 0 {
		a.Incarnation = uint64(time.Now().UnixNano())
	}
	ctx, cancel := context.WithCancel(context.Background())
	f.t.Cleanup(cancel)
	go func() {
		ticker := time.NewTicker(announceInterval)
		defer ticker.Stop()
		for ctx.Err() == nil {
			a.Sequence++
			f.announceOnce(ctx, a, to)
			select {
			case <-ctx.Done():
			case <-ticker.C:
			}
		}
	}()
	return cancel
}

func (f *Fleet) announceOnce(ctx context.Context, a targets.Announcement, hosts []string) {
	body, err := json.Marshal(a)
	if err != nil {
		return
	}
	for _, host := range hosts {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.HTTP(host)+"/targets/v1/announce", bytes.NewReader(body))
		if err != nil {
			return
		}
		req.Header.Set("Authorization", "Bearer "+AnnounceToken)
		response, err := http.DefaultClient.Do(req)
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode < 300 {
			return
		}
	}
}
