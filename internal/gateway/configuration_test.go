package gateway_test

import (
	"fmt"
	"math"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"geraniumturn.example/geraniumturn/internal/clock"
	"geraniumturn.example/geraniumturn/internal/document"
	"geraniumturn.example/geraniumturn/internal/fleetsync"
	"geraniumturn.example/geraniumturn/internal/fleetsync/syncpb"
	"geraniumturn.example/geraniumturn/internal/gateway"
	"geraniumturn.example/geraniumturn/internal/proctest"
	"geraniumturn.example/geraniumturn/internal/registry"
)

// Guards against an odd record of a target that ends the process, or with which requests
// fail although a sound target serves.
func TestOddTargetRecords(t *testing.T) {
	for name, change := range map[string]func(r *registry.Record){
		"port out of range":       func(r *registry.Record) { r.Address = "127.0.0.1:99999" },
		"negative port":           func(r *registry.Record) { r.Address = "127.0.0.1:-1" },
		"no address":              func(r *registry.Record) { r.Address = "" },
		"bytes as address":        func(r *registry.Record) { r.Address = "\x00\xff" },
		"largest number of slots": func(r *registry.Record) { r.Slots = math.MaxInt },
		"least number of slots":   func(r *registry.Record) { r.Slots = math.MinInt },
		"cold for ever":           func(r *registry.Record) { r.ColdUntil = math.MaxInt64 },
		"cold before time":        func(r *registry.Record) { r.ColdUntil = math.MinInt64 },
		"largest sequence":        func(r *registry.Record) { r.Sequence, r.StartMillis = math.MaxUint64, math.MaxInt64 },
		"least start":             func(r *registry.Record) { r.StartMillis = math.MinInt64 },
		"unknown data centre":     func(r *registry.Record) { r.DataCentre = "nowhere" },
		"no data centre":          func(r *registry.Record) { r.DataCentre = "" },
		"unknown service":         func(r *registry.Record) { r.Service = "none" },
		"unknown state":           func(r *registry.Record) { r.State = 200 },
		"no ID":                   func(r *registry.Record) { r.ID = "" },
		"bytes as ID":             func(r *registry.Record) { r.ID = "\x00\xff" },
	} {
		t.Run(name, func(t *testing.T) {
			f := start(t, newTarget(t, success))
			odd := registry.Record{ID: "odd", Sequence: 1, Service: "s", DataCentre: "dc", Address: "127.0.0.1:1", State: registry.Ready}
			change(&odd)
			now := clock.SinceBoot()
			f.Apply(now, fleetsync.Update{SentAt: now, ControlAddress: "c", ExchangeResponse: &syncpb.ExchangeResponse{}, Records: []registry.Record{odd}})
			for range 12 {
				for _, path := range []string{"/safe/", "/once/"} {
					if got := f.call(t, path); got.status != 200 || got.body != "whole" {
						t.Errorf("%s: status %d, body %q, error %v", path, got.status, got.body, got.err)
					}
				}
			}
			if _, err := proto.Marshal(f.ExchangeRequest(clock.SinceBoot(), true, 0)); err != nil {
				t.Error(err)
			}
		})
	}
}

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

// oddProtocol panics at requests with a header Odd.
type oddProtocol struct{ protocol }

func (p oddProtocol) Decode(r *http.Request) (gateway.Call, error) {
	if r.Header.Get("Odd") != "" {
		panic("a request that nobody expected")
	}
	return p.protocol.Decode(r)
}

// Guards against one request that ends the process, or that leaves the host with a request
// in progress for ever, so that it never drains.
func TestPanicEndsOneRequest(t *testing.T) {
	for _, forwarded := range []bool{false, true} {
		s := newTarget(t, success, success)
		f := start(t, s)
		f.CallerProtocol = oddProtocol{}
		entry := f
		if forwarded {
			entry = forwardTo(t, f)
		}
		if got := entry.call(t, "/once/", "Id", "i1", "Odd", "1"); got.err == nil && got.status < http.StatusInternalServerError {
			t.Errorf("forwarded %v: response %+v", forwarded, got)
		}
		if got := entry.call(t, "/once/", "Id", "i2"); got.status != http.StatusOK {
			t.Errorf("forwarded %v: the next request: %+v", forwarded, got)
		}
		// A caller has the whole response before the host has ended the request.
		proctest.Eventually(t, time.Second, func() error {
			if n := f.InFlight(); n != 0 {
				return fmt.Errorf("forwarded %v: %d requests in progress", forwarded, n)
			}
			return nil
		})
	}
}
