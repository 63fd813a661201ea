package control

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"storj.io/drpc/drpcerr"

	"geraniumturn.example/geraniumturn/internal/clock"
	"geraniumturn.example/geraniumturn/internal/control/controlpb"
	"geraniumturn.example/geraniumturn/internal/peer"
)

// Error codes of the drpc service.
const (
	codeNotAppended    = 1001 // certainly not appended; may be proposed again
	codeNoQuorum       = 1002
	codeUncertain      = 1003
	codeUnknownMachine = 1004
	codeTooLarge       = 1005
	codeRefused        = 1006
)

const (
	// findLeaderTimeout is how long a proposal that was certainly not appended is
	// retried. A leader that fails is replaced within about 3 s.
	findLeaderTimeout    = 4 * time.Second
	findLeaderRetryDelay = 50 * time.Millisecond
	// proposeTimeout limits the wait for the result of an appended proposal.
	proposeTimeout = 8 * time.Second
	// forwardTimeout limits a forwarded call. It is longer than the time that the
	// voter may take, so that the voter's error arrives before it.
	forwardTimeout = proposeTimeout + findLeaderTimeout + time.Second
)

func encodeError(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, errNotAppended):
		return drpcerr.WithCode(err, codeNotAppended)
	case errors.Is(err, ErrNoQuorum):
		return drpcerr.WithCode(err, codeNoQuorum)
	case errors.Is(err, ErrUnknownMachine):
		return drpcerr.WithCode(err, codeUnknownMachine)
	case errors.Is(err, ErrTooLarge):
		return drpcerr.WithCode(err, codeTooLarge)
	case errors.Is(err, ErrRefused):
		return drpcerr.WithCode(err, codeRefused)
	}
	return drpcerr.WithCode(err, codeUncertain)
}

// decodeError converts the error of a call to an error of this package. The call may
// have had an effect if it reached the host and its error has no known code.
func decodeError(err error) error {
	if err == nil {
		return nil
	}
	if errors.Is(err, peer.ErrUnreachable) {
		return fmt.Errorf("%w: %v", errNotAppended, err)
	}
	sentinel := ErrUncertain
	switch drpcerr.Code(err) {
	case codeNotAppended:
		sentinel = errNotAppended
	case codeNoQuorum:
		sentinel = ErrNoQuorum
	case codeUnknownMachine:
		sentinel = ErrUnknownMachine
	case codeTooLarge:
		sentinel = ErrTooLarge
	case codeRefused:
		sentinel = ErrRefused
	}
	return fmt.Errorf("%w (from another host): %v", sentinel, err)
}

// forwarder sends proposals to the leader, from a voter or from another host.
type forwarder struct {
	config Config
	node   *Node // nil on a host that is not a voter
	// leader is the last host that was reported as leader; nil after a failed call.
	leader    atomic.Pointer[string]
	nextVoter atomic.Uint32
}

func newForwarder(config Config, node *Node) *forwarder {
	return &forwarder{config: config, node: node}
}

// propose retries while the command was certainly not appended, for up to
// findLeaderTimeout.
func (f *forwarder) propose(ctx context.Context, machine string, command []byte) ([]byte, error) {
	deadline := time.Now().Add(findLeaderTimeout)
	for {
		result, err := f.attempt(ctx, machine, command)
		// A voter that returned ErrNoQuorum may be partitioned from a majority that
		// other voters can reach.
		retryable := errors.Is(err, errNotAppended) || f.node == nil && errors.Is(err, ErrNoQuorum)
		if !retryable {
			return result, err
		}
		if time.Now().After(deadline) || !clock.Sleep(ctx, findLeaderRetryDelay) {
			return nil, fmt.Errorf("%w: %v", ErrNoQuorum, err)
		}
	}
}

func (f *forwarder) attempt(ctx context.Context, machine string, command []byte) ([]byte, error) {
	if f.node == nil {
		return f.attemptViaVoter(ctx, machine, command)
	}
	leader := f.node.LeaderHost()
	switch leader {
	case "":
		return nil, fmt.Errorf("%w: no leader known", errNotAppended)
	case f.config.Host:
		ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
		defer cancel()
		return f.node.proposeLocal(ctx, machine, command)
	}
	out, err := f.call(ctx, leader, &controlpb.ProposeRequest{Machine: machine, Command: command, Direct: true})
	return out.GetResult(), err
}

// attemptViaVoter sends the proposal to the last known leader or, if there is none, to
// the voters in round-robin order. A voter that is not the leader forwards the
// proposal once, so one reachable voter is enough.
func (f *forwarder) attemptViaVoter(ctx context.Context, machine string, command []byte) ([]byte, error) {
	voters := f.config.voters()
	if len(voters) == 0 {
		return nil, fmt.Errorf("%w: no control host is known", errNotAppended)
	}
	host := voters[int(f.nextVoter.Load())%len(voters)].Host
	if leader := f.leader.Load(); leader != nil {
		host = *leader
	}
	out, err := f.call(ctx, host, &controlpb.ProposeRequest{Machine: machine, Command: command})
	if err != nil {
		f.leader.Store(nil)
		f.nextVoter.Add(1)
		return nil, err
	}
	if _, known := f.config.address(out.GetLeader()); known {
		leader := out.GetLeader()
		f.leader.Store(&leader)
	}
	return out.GetResult(), nil
}

func (f *forwarder) call(ctx context.Context, host string, in *controlpb.ProposeRequest) (*controlpb.ProposeResponse, error) {
	address, ok := f.config.address(host)
	if !ok {
		return nil, fmt.Errorf("%w: voter %s is not in the settings", errNotAppended, host)
	}
	if ctx.Err() != nil {
		return nil, fmt.Errorf("%w: %v", errNotAppended, ctx.Err())
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	out, err := controlpb.NewDRPCControlClient(f.config.Dial(address)).Propose(ctx, in)
	return out, decodeError(err)
}

// Propose implements Log.
func (n *Node) Propose(ctx context.Context, machine string, command []byte) ([]byte, error) {
	return n.forward.propose(ctx, machine, command)
}

// Remote is a Log for a host that is not a voter. It forwards proposals.
type Remote struct{ forward *forwarder }

// NewRemote returns a Log that forwards proposals to the leader through the voters.
func NewRemote(config Config) *Remote { return &Remote{newForwarder(config, nil)} }

// Propose implements Log.
func (r *Remote) Propose(ctx context.Context, machine string, command []byte) ([]byte, error) {
	return r.forward.propose(ctx, machine, command)
}

// Lease implements Log. A host that is not a voter never holds the lease.
func (*Remote) Lease() (uint64, bool) { return 0, false }

// LeaseRemaining implements Log. It is always zero.
func (*Remote) LeaseRemaining() time.Duration { return 0 }
