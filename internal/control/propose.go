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

// Codes of errors that cross the network.
const (
	codeNotAppended    = 1001 // certainly not appended; may be proposed again
	codeNoQuorum       = 1002
	codeUncertain      = 1003
	codeUnknownMachine = 1004
	codeTooLarge       = 1005
)

const (
	// findLeaderTimeout is how long a proposal that is certainly not appended is
	// tried again. A leader that fails is replaced within about 3 s.
	findLeaderTimeout    = 4 * time.Second
	findLeaderRetryDelay = 50 * time.Millisecond
	// proposeTimeout bounds the wait for the outcome of an appended proposal.
	proposeTimeout = 8 * time.Second
	// forwardTimeout bounds a forwarded call; it is longer than proposeLimit, so
	// that the answer of the voter arrives first.
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
	}
	return drpcerr.WithCode(err, codeUncertain)
}

// decodeError gives an error of a call its meaning. A call that reached the host
// and has no known code may have had an effect.
func decodeError(err error) error {
	if err == nil {
		return nil
	}
	if errors.Is(err, peer.ErrUnreachable) {
		return fmt.Errorf("%w: %v", errNotAppended, err)
	}
	kind := ErrUncertain
	switch drpcerr.Code(err) {
	case codeNotAppended:
		kind = errNotAppended
	case codeNoQuorum:
		kind = ErrNoQuorum
	case codeUnknownMachine:
		kind = ErrUnknownMachine
	case codeTooLarge:
		kind = ErrTooLarge
	}
	return fmt.Errorf("%w (from another host): %v", kind, err)
}

// forwarder brings proposals to the leader, from a voter or from another host.
type forwarder struct {
	config Config
	node   *Node // nil on a host that is no voter
	// leader is the host that led when it was last heard of.
	leader    atomic.Pointer[string]
	nextVoter atomic.Uint32
}

func newForwarder(config Config, node *Node) *forwarder {
	return &forwarder{config: config, node: node}
}

// propose tries until the command is appended or certainly cannot be.
func (f *forwarder) propose(ctx context.Context, machine string, command []byte) ([]byte, error) {
	deadline := time.Now().Add(findLeaderTimeout)
	for {
		result, err := f.attempt(ctx, machine, command)
		// A voter that answered ErrNoQuorum may be isolated from a majority that
		// other voters still reach.
		again := errors.Is(err, errNotAppended) || f.node == nil && errors.Is(err, ErrNoQuorum)
		if !again {
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

// attemptViaVoter sends the proposal to the host that led last, or to the voters in
// turn. A voter that does not lead forwards it once more, so one reachable voter
// is enough.
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

// Remote is a Log on a host that is no voter: it forwards proposals.
type Remote struct{ forward *forwarder }

// NewRemote returns a Log that reaches the leader through the voters.
func NewRemote(config Config) *Remote { return &Remote{newForwarder(config, nil)} }

// Propose implements Log.
func (r *Remote) Propose(ctx context.Context, machine string, command []byte) ([]byte, error) {
	return r.forward.propose(ctx, machine, command)
}

// Lease never holds on a host that is no voter.
func (*Remote) Lease() (uint64, bool) { return 0, false }

// LeaseRemaining is zero on a host that is no voter.
func (*Remote) LeaseRemaining() time.Duration { return 0 }
