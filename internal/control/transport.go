package control

import (
	"context"
	"fmt"
	"time"

	"geraniumturn.example/geraniumturn/internal/clock"
	"geraniumturn.example/geraniumturn/internal/control/controlpb"
	"geraniumturn.example/geraniumturn/internal/control/core"
	"geraniumturn.example/geraniumturn/internal/control/storage"
)

const (
	// sendQueue bounds the messages that wait for one peer; later ones are
	// dropped, which the algorithm tolerates.
	sendQueue = 256
	// redialPause is the wait after a stream to a peer failed.
	redialPause = 100 * time.Millisecond
	// writeLimit is the time after which a blocked stream is given up.
	writeLimit = 2 * time.Second
	// streamLife bounds the life of a stream, so that messages do not wait for
	// the retransmission of a connection whose path was lost without an error.
	streamLife = 10 * time.Second
	// chunkBytes is the size of the pieces in which a snapshot is sent.
	chunkBytes       = 1 << 20
	maxSnapshotBytes = 512 << 20
)

// sender passes messages to one peer, in order, over a one-way stream. The
// stream does not wait for answers, so the delay between hosts does not limit
// the rate of messages.
type sender struct {
	queue  chan *controlpb.Message
	cancel context.CancelFunc
}

func (s *sender) close() { s.cancel() }

func (n *Node) send(ctx context.Context, messages []core.Message) {
	for _, m := range messages {
		s := n.senderTo(ctx, m.To)
		if s == nil {
			continue
		}
		select {
		case s.queue <- n.toProto(m):
		default:
		}
	}
}

// senderTo returns the sender to a voter id, or nil when its host is unknown.
func (n *Node) senderTo(ctx context.Context, id string) *sender {
	if s := n.senders[id]; s != nil {
		return s
	}
	host := n.hosts[id]
	if host == "" {
		host = hostOf(n.core.Status(), id)
	}
	address, ok := n.config.address(host)
	if !ok {
		return nil
	}
	ctx, cancel := context.WithCancel(ctx)
	s := &sender{queue: make(chan *controlpb.Message, sendQueue), cancel: cancel}
	n.senders[id] = s
	go n.runSender(ctx, s, address)
	return s
}

func (n *Node) runSender(ctx context.Context, s *sender, address string) {
	for ctx.Err() == nil {
		if !n.runStream(ctx, s, address) {
			clock.Sleep(ctx, redialPause)
			s.dropQueued()
		}
	}
}

// dropQueued forgets messages that waited for a peer that could not be reached:
// they are out of date, and the algorithm sends again what is still needed.
func (s *sender) dropQueued() {
	for {
		select {
		case <-s.queue:
		default:
			return
		}
	}
}

// runStream sends until the stream is old, which it reports by true, or fails.
func (n *Node) runStream(ctx context.Context, s *sender, address string) bool {
	select {
	case <-ctx.Done():
		return false
	case first := <-s.queue:
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		stream, err := controlpb.NewDRPCControlClient(n.config.Dial(address)).Deliver(ctx)
		if err != nil {
			return false
		}
		defer stream.Close()
		end := time.NewTimer(streamLife)
		defer end.Stop()
		for m := first; ; {
			if err := sendBounded(cancel, stream, m); err != nil {
				return false
			}
			select {
			case m = <-s.queue:
			case <-stream.Context().Done():
				return false
			case <-end.C:
				return true
			}
		}
	}
}

// sendBounded sends one message, in pieces if it has a snapshot.
func sendBounded(cancel context.CancelFunc, stream controlpb.DRPCControl_DeliverClient, m *controlpb.Message) error {
	var data []byte
	if m.GetSnapshot() != nil {
		data = m.Snapshot.Data
		m.Snapshot.Data = nil
	}
	for {
		if m.GetSnapshot() != nil {
			size := min(len(data), chunkBytes)
			m.Snapshot.Data, data = data[:size], data[size:]
			m.More = len(data) > 0
		}
		timer := time.AfterFunc(writeLimit, cancel)
		err := stream.Send(m)
		timer.Stop()
		if err != nil || !m.GetMore() {
			return err
		}
		m = &controlpb.Message{Snapshot: &controlpb.Snapshot{}}
	}
}

// service answers the calls of other hosts.
type service struct{ n *Node }

// Service returns the drpc service of the voter, for controlpb.DRPCControlDescription.
func (n *Node) Service() controlpb.DRPCControlServer { return service{n} }

// Deliver receives messages until the stream ends.
func (s service) Deliver(stream controlpb.DRPCControl_DeliverStream) error {
	for {
		in, err := receive(stream)
		if err != nil {
			return nil // the sender gave up the stream
		}
		m := fromProto(in)
		if !s.n.do(stream.Context(), func() { s.n.step(m, in.GetHost()) }) {
			return nil
		}
	}
}

func receive(stream controlpb.DRPCControl_DeliverStream) (*controlpb.Message, error) {
	first, err := stream.Recv()
	if err != nil {
		return nil, err
	}
	for more := first.GetMore(); more; {
		next, err := stream.Recv()
		if err != nil {
			return nil, err
		}
		first.Snapshot.Data = append(first.Snapshot.Data, next.GetSnapshot().GetData()...)
		if len(first.Snapshot.Data) > maxSnapshotBytes {
			return nil, fmt.Errorf("control: snapshot of more than %d bytes", maxSnapshotBytes)
		}
		more = next.GetMore()
	}
	return first, nil
}

func (n *Node) step(m core.Message, host string) {
	n.hosts[m.From] = host
	n.core.Step(n.now(), m)
}

// Propose appends here or forwards to the leader once.
func (s service) Propose(ctx context.Context, in *controlpb.ProposeRequest) (*controlpb.ProposeResponse, error) {
	n := s.n
	var result []byte
	var err error
	if in.GetDirect() {
		ctx, cancel := context.WithTimeout(ctx, proposeLimit)
		defer cancel()
		result, err = n.proposeLocal(ctx, in.GetMachine(), in.GetCommand())
	} else {
		result, err = n.forward.propose(ctx, in.GetMachine(), in.GetCommand())
	}
	if err != nil {
		return nil, encodeError(err)
	}
	return &controlpb.ProposeResponse{Result: result, Leader: n.LeaderHost()}, nil
}

func (n *Node) toProto(m core.Message) *controlpb.Message {
	out := &controlpb.Message{
		Kind: uint32(m.Kind), From: m.From, To: m.To, Host: n.config.Host, Term: m.Term, Index: m.Index, LogTerm: m.LogTerm,
		Commit: m.Commit, Ok: m.OK, SentAt: int64(m.SentAt), Stamp: int64(m.Stamp), Process: m.Process, Lease: m.Lease, Free: m.Free, Entries: storage.EntriesToProto(m.Entries),
	}
	if m.Snapshot != nil {
		out.Snapshot = storage.SnapshotToProto(n.snapshotting)
	}
	return out
}

func fromProto(in *controlpb.Message) core.Message {
	m := core.Message{
		Kind: core.MessageKind(in.GetKind()), From: in.GetFrom(), To: in.GetTo(), Term: in.GetTerm(), Index: in.GetIndex(),
		LogTerm: in.GetLogTerm(), Commit: in.GetCommit(), OK: in.GetOk(), SentAt: time.Duration(in.GetSentAt()),
		Stamp: time.Duration(in.GetStamp()), Process: in.GetProcess(), Lease: in.GetLease(), Free: in.GetFree(),
		Entries: storage.EntriesFromProto(in.GetEntries()),
	}
	if in.GetSnapshot() != nil {
		s := storage.SnapshotFromProto(in.GetSnapshot())
		m.Snapshot = &s
	}
	return m
}
