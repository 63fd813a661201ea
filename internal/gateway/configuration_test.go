package gateway_test

import (
	"math"
	"net/http/httptest"
	"strconv"
	"testing"

	"geraniumturn.example/geraniumturn/internal/clock"
	"geraniumturn.example/geraniumturn/internal/document"
	"geraniumturn.example/geraniumturn/internal/gateway"
)

// changedCodec changes the document of the tests.
type changedCodec struct {
	codec
	change func(d *document.Document)
}

func (c changedCodec) Decode([]byte) (*document.Document, error) {
	d := c.testDocument()
	c.change(d)
	return d, nil
}

// Guards against an extreme number in a configuration with which requests are refused, or
// reach their target with an urgency that does not exist.
func TestExtremeNumbersInConfiguration(t *testing.T) {
	for _, n := range []int{math.MaxInt, math.MaxInt/2 + 1, 1 << 62, math.MinInt} {
		t.Run(strconv.Itoa(n), func(t *testing.T) {
			s := newTarget(t, success)
			f := newFixture(t)
			f.Views = gateway.NewViewStore(changedCodec{change: func(d *document.Document) {
				for i := range d.Routes {
					r := &d.Routes[i]
					r.Priority, r.MaxAttempts = n, n
					if n > 0 {
						r.Timeout, r.FirstByteObjective, r.MaxEventGap = clock.Millis(float64(n)), clock.Millis(float64(n)), clock.Millis(float64(n))
						r.Split = []document.WeightedService{{Service: "s", Weight: n}}
					}
				}
				d.Workspaces[0].Priority = n
				d.Services[0].ColdRate, d.Services[0].Engine = float64(n), &document.Engine{Slots: n, CacheTokens: int64(n)}
				d.Limits.MaxBodyBytes = int64(n)
			}})
			f.front = httptest.NewServer(f.Gateway)
			t.Cleanup(f.front.Close)
			f.update(0, s)
			for _, path := range []string{"/safe/", "/once/", "/stream/", "/open/"} {
				if got := f.call(t, path); got.status != 200 || got.body != "whole" {
					t.Errorf("%s: status %d, body %q, error %v", path, got.status, got.body, got.err)
				}
			}
			for _, r := range s.requests {
				if urgency, err := strconv.Atoi(r.Header.Get("Urgency")); err != nil || urgency < 0 || urgency > 9 {
					t.Errorf("%s: urgency %q", r.URL.Path, r.Header.Get("Urgency"))
				}
			}
		})
	}
}
