package control

import (
	"context"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"geraniumturn.example/geraniumturn/internal/clock"
	"geraniumturn.example/geraniumturn/internal/control/controlpb"
	"geraniumturn.example/geraniumturn/internal/control/core"
	"geraniumturn.example/geraniumturn/internal/control/storage"
)

const (
	// sendQueueSize is the number of messages that can be queued for one peer. Further
	// messages are dropped, which the consensus algorithm tolerates.
	sendQueueSize = 256
	// redialDelay is the delay after a stream to a peer has failed.
	redialDelay = 100 * time.Millisecond
	// connectPeriod is how long after its start a node connects to its peers even
	// though it has nothing to send, and connectRetryDelay the delay between the
	// attempts. Voters that start together can then elect a leader without first
	// waiting for connections in both directions.
	connectPeriod     = time.Second
	connectRetryDelay = 30 * time.Millisecond
	// writeTimeout is the time after which a blocked write cancels the stream.
	writeTimeout = 2 * time.Second
	// confirmTimeout is how long a message may stay unconfirmed before its connection
	// is closed. It is longer than a confirmation between regions takes when a packet
	// is lost, and short enough to reconnect within one or two election timeouts.
	confirmTimeout = 800 * time.Millisecond
	// minTransferRate is the minimum expected transfer rate of large messages, in
	// bytes per second. Small TCP windows limit the rate between regions.
	minTransferRate = 250_000
	// chunkBytes is the size of the chunks in which a snapshot is sent.
	chunkBytes       = 1 << 20
	maxSnapshotBytes = 512 << 20
)

// sender sends messages to one peer, in order, over a stream. It sends without waiting
// for confirmations, so the delay between hosts does not limit the message rate.
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

// senderTo returns the sender for a voter id, and starts it if necessary. It returns
// nil if the host of the id is unknown.
func (n *Node) senderTo(ctx context.Context, id string) *sender {
	if s := n.senders[id]; s != nil {
		return s
	}
	host := n.hosts[id]
	if host == "" {
		host = memberHost(n.core.Status(), id)
	}
	address, ok := n.config.address(host)
	if !ok {
		return nil
	}
	ctx, cancel := context.WithCancel(ctx)
	s := &sender{queue: make(chan *controlpb.Message, sendQueueSize), cancel: cancel}
	n.senders[id] = s
	go n.runSender(ctx, s, address)
	return s
}

func (n *Node) runSender(ctx context.Context, s *sender, address string) {
	for ctx.Err() == nil {
		if n.now()-n.startedAt < connectPeriod {
			n.runStream(ctx, s, address, nil)
			clock.Sleep(ctx, connectRetryDelay)
			continue
		}
		select {
		case <-ctx.Done():
		case first := <-s.queue:
			n.runStream(ctx, s, address, first)
			clock.Sleep(ctx, redialDelay)
		}
		s.dropQueued()
	}
}

// dropQueued discards the messages that were queued for an unreachable peer. They are
// outdated, and the consensus algorithm sends again what is still needed.
func (s *sender) dropQueued() {
	for {
		select {
		case <-s.queue:
		default:
			return
		}
	}
}

// runStream sends m, unless it is nil, and the queued messages until the connection
// fails or a confirmation is overdue. The connection is then closed and not reused.
func (n *Node) runStream(ctx context.Context, s *sender, address string, m *controlpb.Message) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := controlpb.NewDRPCControlClient(n.config.Dial(address)).Deliver(ctx)
	if err != nil {
		return // the consensus algorithm sends again what is still needed
	}
	confirmed := make(chan struct{}, sendQueueSize)
	go receiveConfirmations(ctx, stream, confirmed)
	confirmTimer := time.NewTimer(confirmTimeout)
	confirmTimer.Stop()
	defer confirmTimer.Stop()
	unconfirmed, timeout := 0, confirmTimeout
	for {
		if m != nil {
			timeout = confirmTimeout + transferTime(m)
			chunks, err := sendMessage(cancel, stream, m)
			if err != nil {
				return
			}
			if unconfirmed == 0 || timeout > confirmTimeout {
				confirmTimer.Reset(timeout)
			}
			unconfirmed += chunks
			m = nil
		}
		select {
		case m = <-s.queue:
		case <-confirmed:
			if unconfirmed--; unconfirmed > 0 {
				confirmTimer.Reset(timeout)
			} else {
				confirmTimer.Stop()
			}
		case <-confirmTimer.C:
			n.config.Logger.WithFields(logrus.Fields{"peer": address, "unconfirmed": unconfirmed}).Info("control connection silent")
			return
		case <-stream.Context().Done():
			return
		}
	}
}

// receiveConfirmations forwards the confirmations of a stream to a channel until the
// stream ends.
func receiveConfirmations(ctx context.Context, stream controlpb.DRPCControl_DeliverClient, confirmed chan<- struct{}) {
	for {
		if _, err := stream.Recv(); err != nil {
			return // runStream detects the end of the stream by its context
		}
		select {
		case confirmed <- struct{}{}:
		case <-ctx.Done():
			return
		}
	}
}

// transferTime returns how long the payload of a message takes at minTransferRate.
func transferTime(m *controlpb.Message) time.Duration {
	size := len(m.GetSnapshot().GetData())
	for _, e := range m.GetEntries() {
		size += len(e.GetData())
	}
	return time.Duration(float64(size) / minTransferRate * float64(time.Second))
}

// sendMessage sends one message, split into chunks if it has a snapshot, and returns
// the number of chunks. It cancels the stream if a write blocks for writeTimeout.
func sendMessage(cancel context.CancelFunc, stream controlpb.DRPCControl_DeliverClient, m *controlpb.Message) (chunks int, err error) {
	var data []byte
	if m.GetSnapshot() != nil {
		data = m.Snapshot.Data
		m.Snapshot.Data = nil
	}
	for chunks = 1; ; chunks++ {
		if m.GetSnapshot() != nil {
			size := min(len(data), chunkBytes)
			m.Snapshot.Data, data = data[:size], data[size:]
			m.More = len(data) > 0
		}
		timer := time.AfterFunc(writeTimeout, cancel)
		err := stream.Send(m)
		timer.Stop()
		if err != nil || !m.GetMore() {
			return chunks, err
		}
		m = &controlpb.Message{Snapshot: &controlpb.Snapshot{}}
	}
}

// service implements the drpc service for calls from other hosts.
type service struct{ n *Node }

// Service returns the drpc service of the voter, for controlpb.DRPCControlDescription.
func (n *Node) Service() controlpb.DRPCControlServer { return service{n} }

// Deliver receives messages until the stream ends.
func (s service) Deliver(stream controlpb.DRPCControl_DeliverStream) error {
	for {
		in, err := receiveMessage(stream)
		if err != nil {
			return nil // the sender closed the stream
		}
		m := fromProto(in)
		if !s.n.enqueue(stream.Context(), func() { s.n.step(m, in.GetHost()) }) {
			return nil
		}
	}
}

func receiveMessage(stream controlpb.DRPCControl_DeliverStream) (*controlpb.Message, error) {
	first, err := receiveChunk(stream)
	if err != nil {
		return nil, err
	}
	for more := first.GetMore(); more; {
		next, err := receiveChunk(stream)
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

func receiveChunk(stream controlpb.DRPCControl_DeliverStream) (*controlpb.Message, error) {
	m, err := stream.Recv()
	if err != nil {
		return nil, err
	}
	return m, stream.Send(&controlpb.Empty{})
}

func (n *Node) step(m core.Message, host string) {
	n.hosts[m.From] = host
	n.core.Step(n.now(), m)
}

// Propose appends the command on this voter, if the call is direct, or forwards it to
// the leader.
func (s service) Propose(ctx context.Context, in *controlpb.ProposeRequest) (*controlpb.ProposeResponse, error) {
	n := s.n
	var result []byte
	var err error
	if in.GetDirect() {
		ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
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
		Commit: m.Commit, Ok: m.OK, SentAt: int64(m.SentAt), Stamp: int64(m.Stamp), Process: m.Process, Lease: m.Lease, Free: m.NoLeaderSeen, Entries: storage.EntriesToProto(m.Entries),
	}
	if m.Snapshot != nil {
		out.Snapshot = storage.SnapshotToProto(n.storedSnapshot)
	}
	return out
}

func fromProto(in *controlpb.Message) core.Message {
	m := core.Message{
		Kind: core.MessageKind(in.GetKind()), From: in.GetFrom(), To: in.GetTo(), Term: in.GetTerm(), Index: in.GetIndex(),
		LogTerm: in.GetLogTerm(), Commit: in.GetCommit(), OK: in.GetOk(), SentAt: time.Duration(in.GetSentAt()),
		Stamp: time.Duration(in.GetStamp()), Process: in.GetProcess(), Lease: in.GetLease(), NoLeaderSeen: in.GetFree(),
		Entries: storage.EntriesFromProto(in.GetEntries()),
	}
	if in.GetSnapshot() != nil {
		s := storage.SnapshotFromProto(in.GetSnapshot())
		m.Snapshot = &s
	}
	return m
}
