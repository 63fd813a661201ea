package gateway_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"testing"
	"time"

	"geraniumturn.example/geraniumturn/internal/clock"
	"geraniumturn.example/geraniumturn/internal/fleetsync"
	"geraniumturn.example/geraniumturn/internal/fleetsync/syncpb"
	"geraniumturn.example/geraniumturn/internal/rendezvous"
)

// silentHolder is a RateClient of a region in which the holder of a rate does not respond.
type silentHolder struct{}

func (silentHolder) Take(context.Context, string, *syncpb.TakeRequest) (*syncpb.TakeResponse, error) {
	return nil, errors.New("no response")
}

// Guards against hosts that spend more than the tolerance of a rate while the host that holds
// their region's share of it stands still: each of them has started after the whole system,
// and had a full bucket of its own.
func TestHostsWithoutHolderKeepToTolerance(t *testing.T) {
	const hosts, slack = 8, 60.0
	s := newTarget(t, success)
	holder := ""
	for i := range hosts {
		if name := fmt.Sprint("g", i); holder == "" || rendezvous.Weight("bursty", name) > rendezvous.Weight("bursty", holder) {
			holder = name
		}
	}
	served := 0
	for i := range hosts {
		f := newFixture(t)
		f.Name, f.RateClient, f.Bounds.RateSlack = fmt.Sprint("g", i), silentHolder{}, slack
		if f.Name == holder {
			continue
		}
		f.update(0, s)
		now := clock.SinceBoot()
		others := fleetsync.Update{SentAt: now, ControlAddress: "c", ExchangeResponse: &syncpb.ExchangeResponse{Known: true, Index: 1, Version: 1, TotalHosts: hosts}}
		for j := range hosts {
			others.Hosts = append(others.Hosts, &syncpb.EntryHost{Name: fmt.Sprint("g", j), Region: "here", Peer: fmt.Sprint("peer", j), Serving: true})
		}
		f.Apply(now, others)
		for range 20 {
			if got := f.call(t, "/safe/", "Key", "k3"); got.status == http.StatusOK {
				served++
			}
		}
	}
	if served > slack {
		t.Errorf("%d requests were served without the holder, the tolerance of the rate is %.0f", served, slack)
	}
}

// Guards against refusals within the rate at a host that has just started, as the first
// grant of its region's share of the rate has not arrived yet.
func TestRequestsWaitForFirstGrant(t *testing.T) {
	f := newFixture(t)
	f.Bounds.RateSlack = 10
	f.update(0, newTarget(t, success))
	done := make(chan result, 1)
	go func() { done <- f.call(t, "/safe/", "Key", "k3") }()
	time.Sleep(100 * time.Millisecond)
	now := clock.SinceBoot()
	f.Apply(now, fleetsync.Update{SentAt: now, ControlAddress: "c", ExchangeResponse: &syncpb.ExchangeResponse{Known: true, Index: 1, Version: 1, TotalHosts: 1,
		Grants: []*syncpb.Grant{{Workspace: "bursty", Fraction: 1}}}})
	if got := <-done; got.status != http.StatusOK {
		t.Errorf("response %+v", got)
	}
}
