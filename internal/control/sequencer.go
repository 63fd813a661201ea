package control

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"storj.io/drpc"

	"geraniumturn.example/geraniumturn/internal/control/controlpb"
	"geraniumturn.example/geraniumturn/internal/peer"
)

// Sequencer is a Log on a single host, which orders commands in memory. It
// serves sites with one voter and tests; it survives no restart.
type Sequencer struct {
	mu       sync.Mutex
	index    uint64
	machines map[string]Machine
}

// NewSequencer returns a sequencer for the machines, by name.
func NewSequencer(machines map[string]Machine) *Sequencer {
	return &Sequencer{machines: machines}
}

// Propose applies the command at once.
func (s *Sequencer) Propose(_ context.Context, machine string, command []byte) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, ok := s.machines[machine]
	if !ok {
		return nil, fmt.Errorf("control: no machine %q", machine)
	}
	s.index++
	return m.Apply(s.index, command), nil
}

// Lease always holds, because there is no other voter.
func (s *Sequencer) Lease() (uint64, bool) { return 1, true }

// LeaseRemaining is effectively unlimited.
func (s *Sequencer) LeaseRemaining() time.Duration { return time.Hour }

// Service answers proposals that other hosts forward.
type Service struct{ Log Log }

// Propose implements the drpc service.
func (s Service) Propose(ctx context.Context, in *controlpb.ProposeRequest) (*controlpb.ProposeResponse, error) {
	result, err := s.Log.Propose(ctx, in.GetMachine(), in.GetCommand())
	if err != nil {
		return nil, err
	}
	return &controlpb.ProposeResponse{Result: result}, nil
}

// Remote is a Log on a host that is no voter: it forwards proposals.
type Remote struct {
	// Dial opens a connection to the voter.
	Dial func() drpc.Conn
}

// Propose forwards the command to the voter.
func (r Remote) Propose(ctx context.Context, machine string, command []byte) ([]byte, error) {
	client := controlpb.NewDRPCControlClient(r.Dial())
	out, err := client.Propose(ctx, &controlpb.ProposeRequest{Machine: machine, Command: command})
	switch {
	case err == nil:
		return out.GetResult(), nil
	case errors.Is(err, peer.ErrUnreachable):
		return nil, fmt.Errorf("%w: %v", ErrNoQuorum, err)
	default:
		return nil, fmt.Errorf("%w: %v", ErrUncertain, err)
	}
}

// Lease never holds on a host that is no voter.
func (Remote) Lease() (uint64, bool) { return 0, false }

// LeaseRemaining is zero on a host that is no voter.
func (Remote) LeaseRemaining() time.Duration { return 0 }
