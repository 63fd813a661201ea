package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"geraniumturn.example/geraniumturn/internal/clock"
	"geraniumturn.example/geraniumturn/internal/fleetsync"
	"geraniumturn.example/geraniumturn/internal/fleetsync/syncpb"
)

// Guards against a host that serves, or denies for a missing route, on a configuration whose
// content has not arrived, that counts an outdated one as confirmed, and that applies an
// evacuation only with the content.
func TestContentThatHasNotArrived(t *testing.T) {
	f := newFixture(t)
	f.Table.Merge(clock.SinceBoot(), records([]*target{newTarget(t, success)})[0])
	apply := func(index, version uint64, digest, content string, evacuated ...*syncpb.Evacuation) {
		now := clock.SinceBoot()
		f.Apply(now, fleetsync.Update{SentAt: now, ControlAddress: "c", ExchangeResponse: &syncpb.ExchangeResponse{Known: true, Index: index, Version: version,
			Digest: []byte(digest), Content: []byte(content), Evacuated: evacuated}})
	}
	apply(1, 1, "digest", "")
	for _, path := range []string{"/safe/", "/nothing/"} {
		if got := f.call(t, path); got.status != http.StatusServiceUnavailable {
			t.Errorf("%s without content: %+v", path, got)
		}
	}
	apply(1, 1, "digest", "content")
	if got := f.call(t, "/safe/"); got.status != http.StatusOK {
		t.Errorf("with content: %+v", got)
	}
	age, _ := f.Views.Age(clock.SinceBoot())
	time.Sleep(20 * time.Millisecond)
	apply(3, 2, "digest", "", &syncpb.Evacuation{DataCentre: "dc", Index: 3})
	if v := f.Views.Current(); v.Config.Version != 1 || len(v.Evacuated) != 1 {
		t.Errorf("version %d, evacuated %v", v.Config.Version, v.Evacuated)
	}
	if later, _ := f.Views.Age(clock.SinceBoot()); later < age+20*time.Millisecond {
		t.Errorf("a configuration without the newest content was confirmed: age %s, then %s", age, later)
	}
}
