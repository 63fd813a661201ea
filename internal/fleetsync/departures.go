package fleetsync

import (
	"context"
	"errors"
	"sync"
	"time"

	"geraniumturn.example/geraniumturn/internal/clock"
	"geraniumturn.example/geraniumturn/internal/departures"
	"geraniumturn.example/geraniumturn/internal/fleetsync/syncpb"
	"geraniumturn.example/geraniumturn/internal/recovery"
)

// departureTimeout bounds the wait until a departure may be acknowledged. It is below the
// second that targets wait.
const departureTimeout = 850 * time.Millisecond

// ErrDepartureNotHeld means that too few control hosts have stored a departure. This host
// acts on it all the same.
var ErrDepartureNotHeld = errors.New("fleetsync: too few control hosts have stored the departure")

// AwaitDeparture waits until the departure of a target may be acknowledged. It returns at once
// if the target is ready or unknown: a later process of it has started.
func (s *Server) AwaitDeparture(ctx context.Context, target string) error {
	revision := s.Targets.DepartureRevision(target)
	if revision == 0 {
		return nil
	}
	s.wakeDepartures()
	return s.awaitLedger(ctx, func() bool { return s.ledger.Held(revision, s.memberControls()) })
}

// awaitStored waits until the disk of this host has the departures in the table.
func (s *Server) awaitStored(ctx context.Context) error {
	_, revision := s.Targets.Departures(0)
	s.wakeDepartures()
	return s.awaitLedger(ctx, func() bool { return s.ledger.Stored(revision) })
}

func (s *Server) awaitLedger(ctx context.Context, done func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, departureTimeout)
	defer cancel()
	for {
		changed := s.ledger.Changed()
		if done() {
			return nil
		}
		select {
		case <-ctx.Done():
			return ErrDepartureNotHeld
		case <-changed:
		}
	}
}

// memberControls returns the members of the replicated log with their regions.
func (s *Server) memberControls() []departures.Control {
	var out []departures.Control
	for _, host := range s.Leadership.MemberHosts() {
		out = append(out, departures.Control{Address: host, Region: s.Presence.controlRegion(host)})
	}
	return out
}

func (s *Server) wakeDepartures() {
	select {
	case s.departureWake <- struct{}{}:
	default:
	}
}

// keepDepartures stores departures and tells other control hosts of them until ctx ends. A
// disk or a host that does not respond delays nothing but itself.
func (s *Server) keepDepartures(ctx context.Context, seeds func() []string) {
	var calls sync.WaitGroup
	defer calls.Wait()
	ticker := time.NewTicker(relayInterval) // for retries, and for hosts that have started
	defer ticker.Stop()
	for {
		now := clock.SinceBoot()
		if w, due := s.ledger.NextWrite(now); due {
			calls.Go(func() { s.storeDepartures(w) })
		}
		for _, c := range s.ledger.NextCalls(now, s.otherControls(now, seeds())) {
			calls.Go(func() { s.tellDepartures(ctx, c) })
		}
		select {
		case <-ctx.Done():
			return
		case <-s.departureWake:
		case <-ticker.C:
		}
	}
}

// otherControls returns the control hosts that are told of departures.
func (s *Server) otherControls(now time.Duration, seeds []string) []departures.Control {
	var out []departures.Control
	for _, c := range s.Presence.Controls(now) {
		out = append(out, departures.Control{Address: c.GetPeer(), Region: c.GetRegion()})
	}
	for _, a := range seeds {
		out = append(out, departures.Control{Address: a})
	}
	return out
}

func (s *Server) storeDepartures(w departures.Write) {
	err := recovery.Do(func() error { return s.Departures.Save(w.Records) })
	s.ledger.Written(clock.SinceBoot(), w, err)
	if err != nil {
		s.OnDepartureError(err) // tried again with the next round
		return
	}
	s.wakeDepartures() // others may have arrived meanwhile
}

func (s *Server) tellDepartures(ctx context.Context, c departures.Call) {
	var process uint64
	err := recovery.Do(func() (err error) {
		process, err = s.relayTo(ctx, c.Address, &syncpb.RelayRequest{From: s.Self, Targets: encodeRecords(clock.SinceBoot(), c.Records), Store: true})
		return err
	})
	s.ledger.Called(clock.SinceBoot(), c, process, err)
	if err == nil {
		s.wakeDepartures()
	}
}
