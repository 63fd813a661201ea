package control

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"storj.io/drpc/drpcerr"

	"geraniumturn.example/geraniumturn/internal/control/controlpb"
	"geraniumturn.example/geraniumturn/internal/control/core"
	"geraniumturn.example/geraniumturn/internal/control/storage"
)

// ErrInitialised means that a voter already has a log.
var ErrInitialised = errors.New("control: a voter already has a log")

const (
	codeInitialised = 1010
	callTimeout     = 5 * time.Second
)

// Initialise stores the same initial membership on all voters. It first requests the
// id of each voter, and stores nothing if a voter cannot be reached or already has a
// log. It may run on any host.
func Initialise(ctx context.Context, config Config) ([]core.Member, error) {
	var members []core.Member
	for _, v := range config.Voters {
		out, err := prepare(ctx, config, v)
		if err != nil {
			return nil, fmt.Errorf("voter %s: %w", v.Host, err)
		}
		members = append(members, core.Member{ID: out.GetId(), Host: v.Host})
	}
	for i, v := range config.Voters {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		_, err := controlpb.NewDRPCControlClient(config.Dial(v.Address)).Initialise(ctx,
			&controlpb.InitialiseRequest{Id: members[i].ID, Members: storage.MembersToProto(members)})
		cancel()
		if err != nil {
			return nil, fmt.Errorf("voter %s did not confirm; the other voters may be initialised with a membership that includes it: %w", v.Host, err)
		}
	}
	return members, nil
}

func prepare(ctx context.Context, config Config, v Voter) (*controlpb.PrepareResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	out, err := controlpb.NewDRPCControlClient(config.Dial(v.Address)).Prepare(ctx, &controlpb.Empty{})
	if drpcerr.Code(err) == codeInitialised {
		return nil, ErrInitialised
	}
	return out, err
}

// Prepare implements the drpc service.
func (s service) Prepare(ctx context.Context, _ *controlpb.Empty) (*controlpb.PrepareResponse, error) {
	status := s.n.status.Load()
	if status.LastIndex > 0 {
		return nil, drpcerr.WithCode(ErrInitialised, codeInitialised)
	}
	return &controlpb.PrepareResponse{Id: s.n.id}, nil
}

// Initialise implements the drpc service.
func (s service) Initialise(ctx context.Context, in *controlpb.InitialiseRequest) (*controlpb.Empty, error) {
	done := make(chan error, 1)
	queued := s.n.enqueue(ctx, func() { done <- s.n.initialise(in) })
	if !queued {
		return nil, fmt.Errorf("control: the voter is stopping")
	}
	select {
	case err := <-done:
		if err != nil {
			return nil, drpcerr.WithCode(err, codeInitialised)
		}
		return &controlpb.Empty{}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// initialise stores the initial membership. It accepts a repeated call with the same
// membership, and a call that arrives after a vote request of another voter that was
// initialised earlier.
func (n *Node) initialise(in *controlpb.InitialiseRequest) error {
	members := storage.MembersFromProto(in.GetMembers())
	if in.GetId() != n.id || !slices.ContainsFunc(members, func(m core.Member) bool { return m.ID == n.id }) {
		return fmt.Errorf("control: initialisation is not for this voter, which has id %s", n.id)
	}
	if status := n.core.Status(); status.LastIndex > 0 {
		if slices.Equal(status.Members, members) {
			return nil
		}
		return ErrInitialised
	}
	if n.core.Status().Term > 0 {
		return nil // a voter that was initialised before this one has requested its vote
	}
	n.core.Initialise(members)
	return nil
}

// requestMembership sends a join request to all other voters every joinInterval while
// the core needs it.
func (n *Node) requestMembership(ctx context.Context) {
	if now := n.now(); now < n.nextJoinAt {
		return
	}
	n.nextJoinAt = n.now() + joinInterval
	if !n.core.NeedsJoin() {
		return
	}
	in := &controlpb.JoinRequest{Id: n.id, Host: n.config.Host}
	for _, v := range n.config.voters() {
		if v.Host != n.config.Host {
			go n.sendJoin(ctx, v.Address, in)
		}
	}
}

func (n *Node) sendJoin(ctx context.Context, address string, in *controlpb.JoinRequest) {
	ctx, cancel := context.WithTimeout(ctx, joinInterval)
	defer cancel()
	// Errors are ignored because the request is repeated. A voter that is not the
	// leader ignores the request.
	_, _ = controlpb.NewDRPCControlClient(n.config.Dial(address)).Join(ctx, in)
}

// Join implements the drpc service. Only hosts that the configuration lists as voters
// can join.
func (s service) Join(ctx context.Context, in *controlpb.JoinRequest) (*controlpb.Empty, error) {
	if _, ok := s.n.config.address(in.GetHost()); !ok || in.GetId() == "" {
		return nil, fmt.Errorf("control: host %q is not a voter in the settings of %s", in.GetHost(), s.n.config.Host)
	}
	s.n.enqueue(ctx, func() {
		s.n.hosts[in.GetId()] = in.GetHost()
		_ = s.n.core.Join(in.GetId(), in.GetHost())
	})
	return &controlpb.Empty{}, nil
}

// Member is a member of the log in a Report.
type Member struct {
	ID      string `json:"id"`
	Host    string `json:"host"`
	Learner bool   `json:"learner"`
}

// Report is the response body of GET /admin/v1/control.
type Report struct {
	Host string `json:"host"`
	// ID is the voter id of this host; empty if it is not a voter.
	ID string `json:"id,omitempty"`
	// Leader is the host name of the leader that this host follows, if any.
	Leader string `json:"leader,omitempty"`
	Role   string `json:"role"`
	Term   uint64 `json:"term"`
	Commit uint64 `json:"commit"`
	// Lease tells whether this host is the leader with a valid lease.
	Lease            bool     `json:"lease"`
	LeaseRemainingMS int64    `json:"lease_remaining_ms"`
	Members          []Member `json:"members"`
}

// Report describes this voter.
func (n *Node) Report() Report {
	s := n.status.Load()
	r := Report{Host: n.config.Host, ID: n.id, Leader: n.LeaderHost(), Term: s.Term, Commit: s.Commit, Members: []Member{}}
	r.Role = [...]string{"follower", "pre_candidate", "candidate", "leader"}[s.Role]
	_, r.Lease = n.Lease()
	r.LeaseRemainingMS = n.LeaseRemaining().Milliseconds()
	for _, m := range s.Members {
		r.Members = append(r.Members, Member(m))
	}
	slices.SortFunc(r.Members, func(a, b Member) int { return strings.Compare(a.Host, b.Host) })
	return r
}
