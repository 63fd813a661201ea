package controlplane

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"geraniumturn.example/geraniumturn/internal/clock"
	"geraniumturn.example/geraniumturn/internal/control"
	"geraniumturn.example/geraniumturn/internal/document"
	"geraniumturn.example/geraniumturn/internal/fleetsync"
	"geraniumturn.example/geraniumturn/internal/registry"
)

var (
	// ErrInvalid means that a document was refused and changed nothing.
	ErrInvalid = errors.New("controlplane: invalid document")
	// ErrUnavailable means that this host does not know the outcome of a change, or
	// the newest configuration. The call may be repeated.
	ErrUnavailable = errors.New("controlplane: unavailable")
)

// UnconfirmedError means that an order was not carried out, because its caller has not
// confirmed that it still waits for it. The caller confirms by sending the order once more,
// with the position.
type UnconfirmedError struct {
	// Position is the log position of the last order that this host knows of for the same
	// data centre.
	Position uint64
}

func (e *UnconfirmedError) Error() string {
	return fmt.Sprintf("controlplane: order is not confirmed behind position %d", e.Position)
}

const (
	// changeTimeout bounds a change. Callers switch to another host after a second; the
	// change may still complete and satisfy a later call.
	changeTimeout = 4 * time.Second
	// readTimeout bounds the wait for the leader's confirmation. It is below the second
	// that callers wait.
	readTimeout = 850 * time.Millisecond
)

// Decoder decodes and checks documents.
type Decoder interface {
	Decode(content []byte) (*document.Document, error)
}

// Departures makes departures of targets outlive this host.
type Departures interface {
	// AwaitDeparture returns nil when the departure of a target may be acknowledged, or if
	// the target is not leaving.
	AwaitDeparture(ctx context.Context, target string) error
}

// Service is the control plane of one control host.
type Service struct {
	Node     *control.Node
	Document *document.Machine
	Decoder  Decoder
	Targets  *registry.Table
	Presence *fleetsync.Presence
	// Departures tells when the departure of a target may be acknowledged.
	Departures Departures
	Logger     *logrus.Logger
	// Owners decides which control host gets the heartbeats of a target, RegionByDataCentre
	// has the regions of the targets.
	Owners             Owners
	RegionByDataCentre map[string]string

	mu      sync.Mutex
	decoded decodedDocument
}

// Replace proposes a document as the configuration and returns when it, or a higher
// version, is durable.
func (s *Service) Replace(ctx context.Context, content []byte) error {
	d, err := s.Decoder.Decode(content)
	if err != nil {
		s.Logger.WithFields(logrus.Fields{"bytes": len(content), "error": err.Error()}).Info("document refused")
		return fmt.Errorf("%w: %v", ErrInvalid, err)
	}
	state, _ := s.Document.State()
	if state.Version >= d.Version {
		s.Logger.WithFields(logrus.Fields{"version": d.Version, "stored": state.Version}).Info("document overtaken")
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	started := clock.SinceBoot()
	command, err := document.EncodeDocument(d.Version, content)
	if err == nil {
		err = s.propose(ctx, command)
	}
	s.logChange(logrus.Fields{"version": d.Version}, started, err)
	if err != nil {
		return fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	return nil
}

// Evacuate starts or ends the evacuation of a data centre.
//
// A caller that gets no response in time sends its order to another host, and may send newer
// orders once that has succeeded. So an order may be read long after its caller has given it
// up, for example by a process that was frozen, and nothing in it tells how old it is. It is
// therefore not carried out before its caller has confirmed it with the position after, nor
// if an order of anyone has followed that position: an order that waits anywhere behind the
// confirmation is overtaken by the next one. after is nil in an order that is not confirmed.
func (s *Service) Evacuate(ctx context.Context, dataCentre string, evacuate bool, after *uint64) error {
	if after == nil {
		return s.requestConfirmation(dataCentre, evacuate, "new order")
	}
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	started := clock.SinceBoot()
	command, err := document.EncodeEvacuation(dataCentre, evacuate, *after)
	if err == nil {
		err = s.propose(ctx, command)
	}
	s.logChange(logrus.Fields{"data_centre": dataCentre, "evacuate": evacuate, "after": *after}, started, err)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, control.ErrRefused) && s.Node.AwaitCurrent(ctx):
		return s.requestConfirmation(dataCentre, evacuate, "outdated position")
	}
	return fmt.Errorf("%w: %v", ErrUnavailable, err)
}

func (s *Service) requestConfirmation(dataCentre string, evacuate bool, cause string) error {
	state, _ := s.Document.State()
	err := &UnconfirmedError{Position: state.Orders[dataCentre]}
	s.Logger.WithFields(logrus.Fields{"data_centre": dataCentre, "evacuate": evacuate, "position": err.Position, "cause": cause}).Info("order not confirmed")
	return err
}

// propose appends a command for the replicated state and waits until it is applied.
func (s *Service) propose(ctx context.Context, command []byte) error {
	result, err := s.Node.Propose(ctx, document.MachineName, command)
	if err != nil {
		return err
	}
	if len(result) > 0 {
		return errors.New(string(result))
	}
	return nil
}

func (s *Service) logChange(fields logrus.Fields, started time.Duration, err error) {
	fields["took_ms"] = (clock.SinceBoot() - started).Milliseconds()
	if err != nil {
		fields["error"] = err.Error()
	}
	s.Logger.WithFields(fields).Info("change")
}

// LogChanges logs each change of the replicated state as this host applies it, until ctx
// ends. A change that was committed is visible there also if the host that proposed it, or
// its caller, never learned of the outcome.
func (s *Service) LogChanges(ctx context.Context) error {
	previous := &document.State{}
	for {
		state, changed := s.Document.State()
		s.logApplied(previous, state)
		previous = state
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

func (s *Service) logApplied(previous, state *document.State) {
	if state.Version != previous.Version {
		s.Logger.WithFields(logrus.Fields{"version": state.Version, "index": state.Index}).Info("document applied")
	}
	for dataCentre, index := range state.Evacuated {
		if previous.Evacuated[dataCentre] != index {
			s.Logger.WithFields(logrus.Fields{"data_centre": dataCentre, "evacuate": true, "index": index}).Info("evacuation applied")
		}
	}
	for dataCentre, index := range state.Restored {
		if previous.Restored[dataCentre] != index {
			s.Logger.WithFields(logrus.Fields{"data_centre": dataCentre, "evacuate": false, "index": index}).Info("evacuation applied")
		}
	}
}

// Read returns the newest document as the operator sent it. The leader confirms that
// the local state is current.
func (s *Service) Read(ctx context.Context) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	if !s.Node.AwaitCurrent(ctx) {
		s.Logger.Info("read refused: no contact with the leader")
		return nil, fmt.Errorf("%w: no contact with the leader", ErrUnavailable)
	}
	report := s.Node.Report()
	state, _ := s.Document.State()
	s.Logger.WithFields(logrus.Fields{"version": state.Version, "index": state.Index, "role": report.Role, "lease": report.Lease,
		"term": report.Term, "commit": report.Commit, "leader": report.Leader}).Info("read")
	if state.Version == 0 {
		return nil, fmt.Errorf("%w: no document stored yet", ErrUnavailable)
	}
	return state.Content, nil
}

// coldRounding is the most by which a target may have rounded the rest of its warm-up down.
const coldRounding = time.Millisecond

// Heartbeat records a heartbeat of a target. cold is the remaining time of its warm-up. A
// target that drains gets an acknowledgement that outlives this host: others rely on it.
func (s *Service) Heartbeat(ctx context.Context, r registry.Record, cold time.Duration) error {
	now := clock.SinceBoot()
	if cold > 0 {
		r.ColdUntil = now + cold + coldRounding
	}
	if s.Targets.Heartbeat(now, r) {
		s.Logger.WithFields(logrus.Fields{"target": r.ID, "service": r.Service, "address": r.Address, "state": r.State.String(),
			"sequence": r.Sequence, "born": r.StartMillis, "cold_ms": cold.Milliseconds()}).Info("target changed")
	}
	if r.State == registry.Ready {
		return nil
	}
	return s.awaitDeparture(ctx, r.ID)
}

// HeartbeatAddress returns the address to which a target that has sent a heartbeat should
// send later ones, or "" for this host. A target that leaves stays here.
func (s *Service) HeartbeatAddress(r registry.Record) string {
	if r.State != registry.Ready {
		return ""
	}
	now := clock.SinceBoot()
	return s.Owners.Choose(now, r.ID, s.RegionByDataCentre[r.DataCentre], s.Presence.LiveControls(now))
}

// InvalidHeartbeat logs a heartbeat or deregistration that was refused.
func (s *Service) InvalidHeartbeat(id string, err error) {
	s.Logger.WithError(err).WithField("target", id[:min(len(id), maxLoggedID)]).Warn("heartbeat refused")
}

// maxLoggedID bounds an ID that may be invalid.
const maxLoggedID = 64

// Deregister marks a target as left. startMillis is 0 if the target did not report its
// start time. It returns nil when the departure outlives this host, which acts on it at once.
func (s *Service) Deregister(ctx context.Context, id string, startMillis int64) error {
	if s.Targets.Deregister(clock.SinceBoot(), id, startMillis) {
		s.Logger.WithFields(logrus.Fields{"target": id, "born": startMillis}).Info("target left")
	}
	return s.awaitDeparture(ctx, id)
}

func (s *Service) awaitDeparture(ctx context.Context, id string) error {
	started := clock.SinceBoot()
	err := s.Departures.AwaitDeparture(ctx, id)
	fields := logrus.Fields{"target": id, "took_ms": (clock.SinceBoot() - started).Milliseconds()}
	if err != nil {
		s.Logger.WithFields(fields).WithError(err).Warn("departure not acknowledged")
		return fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	s.Logger.WithFields(fields).Info("departure acknowledged")
	return nil
}
