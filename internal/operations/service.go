package operations

import (
	"cmp"
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"hash"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"geraniumturn.example/geraniumturn/internal/control"
	"geraniumturn.example/geraniumturn/internal/dispatch"
	pb "geraniumturn.example/geraniumturn/internal/operations/operationspb"
	"geraniumturn.example/geraniumturn/internal/refusal"
	"geraniumturn.example/geraniumturn/internal/rules"
)

const (
	// HeaderReplayed marks an answer that was stored by an earlier request.
	HeaderReplayed = "Geraniumturn-Replayed"

	// proposeTimeout covers the time without a leader after the loss of one, about 3 s.
	proposeTimeout = 5 * time.Second
	// settleTimeout bounds how long the caller's connection waits for the end
	// of the record; the background loop goes on after it.
	settleTimeout = 2 * time.Second
	askTimeout    = time.Second
	// copyTimeout bounds one try to store the second copy, copyLimit all of
	// them; the caller's answer waits for it.
	copyTimeout = 400 * time.Millisecond
	copyLimit   = time.Second
	// copyCandidates is how many hosts are tried for the second copy, and asked
	// for it when the dispatching host does not answer.
	copyCandidates = 3

	settlePeriod      = 200 * time.Millisecond
	maxSettlePeriod   = 5 * time.Second
	settleConcurrency = 16
	// tickPeriod is how often a voter moves the agreed time without traffic.
	tickPeriod = 10 * time.Minute
	// maxBeginTries bounds Begin again after the release of an attempt that was not run.
	maxBeginTries = 3
)

var errDeadHost = errors.New("operations: host is taken as dead")

// Operation names a non-idempotent request that its caller may send again.
type Operation struct {
	Workspace string
	// Key is the caller's Idempotency-Key.
	Key string
	// Method, Path, Query and Body are what the key stands for.
	Method    string
	Path      string
	Query     string
	Body      []byte
	RequestID string
	// Residency lists the data centres that the answer may rest in; empty means all.
	Residency []string
	// Deadline is absolute; the operation is not dispatched after it.
	Deadline time.Time
}

// Host is a host that can hold a second copy.
type Host struct {
	Name       string
	DataCentre string
	Peer       string
	// Dead hosts are neither asked nor given copies.
	Dead bool
}

// Peers reaches the other hosts.
type Peers interface {
	// Hosts lists the other hosts of the fleet.
	Hosts() []Host
	Status(ctx context.Context, host Host, request *pb.StatusRequest) (*pb.StatusResponse, error)
	Store(ctx context.Context, host Host, answer *pb.Answer) error
}

// Config has the parts of a Service.
type Config struct {
	Self      Host
	Log       control.Log
	Peers     Peers
	Store     *Store
	DigestKey []byte
	// Count increments a counter.
	Count func(name string)
	// Ticks is true on hosts that keep the agreed time going, the voters.
	Ticks bool
}

// Service runs operations on one host.
type Service struct {
	Config
	core *Core
	wake chan struct{}
}

// NewService returns a service. Run must be started for it.
func NewService(config Config) *Service {
	violated := func(name string) { config.Count("invariant." + name) }
	return &Service{Config: config, core: NewCore(violated), wake: make(chan struct{}, 1)}
}

// Runner runs the request once and copies the answer to the sink.
type Runner = func(ctx context.Context, sink dispatch.Sink) (dispatch.Result, error)

// Do runs the operation at most once over all hosts, or gives the answer of the
// run that there was. An error is a *refusal.Error or dispatch.ErrResponseTruncated. A run
// that has begun goes on when the caller leaves, so that a resend gets its
// answer; it ends when ctx is cancelled with a cause of its own.
func (s *Service) Do(ctx context.Context, op Operation, sink dispatch.Sink, run Runner) (dispatch.Result, error) {
	begin := s.beginCommand(op)
	seen := ""
	for try := 1; ; try++ {
		begin.Attempt = newAttempt()
		next, err := s.begin(ctx, begin, op.Deadline)
		switch {
		case err != nil:
			return dispatch.Result{}, err
		case next.dispatch:
			return s.dispatch(ctx, begin.Attempt, op, sink, run)
		}
		again, err := s.resend(ctx, begin, next.record, seen, sink)
		seen = next.record.GetAttempt()
		if !again || try == maxBeginTries {
			return dispatch.Result{Status: int(next.record.GetStatus())}, err
		}
	}
}

func (s *Service) beginCommand(op Operation) *pb.Begin {
	return &pb.Begin{
		Workspace: op.Workspace, KeyDigest: s.KeyDigest(op.Workspace, op.Key), DataCentre: s.Self.DataCentre,
		BodyDigest: s.digest("body", op.Workspace, op.Method, op.Path, op.Query, string(op.Body)),
	}
}

// KeyDigest is what the log holds instead of the caller's Idempotency-Key.
func (s *Service) KeyDigest(workspace, key string) []byte { return s.digest("key", workspace, key) }

func (s *Service) digest(parts ...string) []byte {
	mac := hmac.New(sha256.New, s.DigestKey)
	for _, p := range parts {
		writePart(mac, p)
	}
	return mac.Sum(nil)
}

// writePart writes length and content, so that different lists of parts never
// give the same bytes.
func writePart(h hash.Hash, part string) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(part)))
	_, _ = h.Write(length[:])
	_, _ = h.Write([]byte(part))
}

func newAttempt() string {
	raw := make([]byte, attemptLen/2)
	_, _ = rand.Read(raw) // never fails since Go 1.24
	return hex.EncodeToString(raw)
}

func (s *Service) begin(ctx context.Context, begin *pb.Begin, deadline time.Time) (step, error) {
	id := begin.GetAttempt()
	if refused := s.core.Start(id); refused != nil {
		return step{}, refused
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), min(proposeTimeout, time.Until(deadline)))
	defer cancel()
	result, err := s.propose(ctx, &pb.Command{Kind: &pb.Command_Begin{Begin: begin}})
	next := s.core.BeginAnswered(id, result, err)
	if next.refuse != nil {
		s.poke()
		return step{}, next.refuse
	}
	return next, nil
}

func (s *Service) propose(ctx context.Context, c *pb.Command) (*pb.Result, error) {
	c.NowMs, c.Host = time.Now().UnixMilli(), s.Self.Name
	data, err := proto.Marshal(c)
	if err != nil {
		return nil, fmt.Errorf("operations: marshal command: %w", err)
	}
	out, err := s.Log.Propose(ctx, MachineName, data)
	if err != nil {
		return nil, err
	}
	var result pb.Result
	if err := proto.Unmarshal(out, &result); err != nil {
		return nil, fmt.Errorf("operations: decode result: %w", err)
	}
	return &result, nil
}

// dispatch runs the operation whose record this attempt holds.
func (s *Service) dispatch(ctx context.Context, id string, op Operation, sink dispatch.Sink, run Runner) (dispatch.Result, error) {
	if ctx.Err() != nil || !time.Now().Before(op.Deadline) {
		s.core.Withdraw(id)
		s.settle(id)
		return dispatch.Result{}, refusal.New(refusal.Deadline, refusal.NotRun, "the caller left or the deadline passed before the operation ran")
	}
	runCtx, cancel := detach(ctx)
	defer cancel()
	captured := &capture{next: sink}
	result, err := run(runCtx, captured)
	answer, digest := s.answer(id, op, captured, err)
	s.core.RunEnded(id, captured.status, answer, digest, err)
	// The answer is stored before the caller gets it, so that a caller that saw
	// it can always have it again.
	s.core.Stored(id, s.store(answer))
	var settled sync.WaitGroup
	settled.Go(func() { s.settle(id) })
	defer settled.Wait()
	if err != nil {
		return result, err
	}
	return result, captured.release()
}

// detach returns a context that outlives the caller's connection, but not a
// cancellation that has a cause, such as a withdrawn key.
func detach(ctx context.Context) (context.Context, func()) {
	run, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, func() {
		cause := context.Cause(ctx)
		if !errors.Is(cause, context.Canceled) && !errors.Is(cause, context.DeadlineExceeded) {
			cancel(cause)
		}
	})
	return run, func() {
		stop()
		cancel(nil)
	}
}

func (s *Service) answer(id string, op Operation, c *capture, err error) (*pb.Answer, []byte) {
	if err != nil || c.status == 0 || c.tooLarge {
		return nil, nil
	}
	a := &pb.Answer{
		Attempt: id, Workspace: op.Workspace, Status: int32(c.status), Header: c.header, Body: c.body,
		Residency: op.Residency, ExpiresMs: time.Now().Add(Retention).UnixMilli(),
	}
	return a, s.answerDigest(a)
}

func (s *Service) answerDigest(a *pb.Answer) []byte {
	parts := []string{"answer", a.GetAttempt(), a.GetWorkspace(), strconv.Itoa(int(a.GetStatus())), string(a.GetBody())}
	for _, name := range slices.Sorted(maps.Keys(a.GetHeader())) {
		parts = append(parts, name, a.GetHeader()[name])
	}
	return s.digest(parts...)
}

// store keeps the answer here and on one more host, and returns who holds it.
func (s *Service) store(a *pb.Answer) []string {
	if a == nil {
		return nil
	}
	var here, there string
	var both sync.WaitGroup
	both.Go(func() {
		if s.put(a) == nil {
			here = s.Self.Name
		}
	})
	both.Go(func() { there = s.storeCopy(a) })
	both.Wait()
	return slices.DeleteFunc([]string{here, there}, func(name string) bool { return name == "" })
}

func (s *Service) put(a *pb.Answer) error {
	err := s.Store.Put(a, time.Now())
	switch {
	case errors.Is(err, ErrResidency):
		s.Count("invariant.operations.residency")
	case err != nil:
		s.Count("operations.store_failed")
	}
	return err
}

func (s *Service) storeCopy(a *pb.Answer) string {
	all, cancel := context.WithTimeout(context.Background(), copyLimit)
	defer cancel()
	for _, h := range s.candidates(a.GetAttempt(), a.GetResidency()) {
		if !rules.Allows(a.GetResidency(), h.DataCentre) {
			s.Count("invariant.operations.residency")
			continue
		}
		ctx, cancel := context.WithTimeout(all, copyTimeout)
		err := s.Peers.Store(ctx, h, a)
		cancel()
		if err == nil {
			return h.Name
		}
		s.Count("operations.copy_failed")
	}
	return ""
}

// candidates are the hosts for the second copy of an attempt's answer, best
// first: another data centre, so that the loss of one leaves a copy, then by a
// digest that all hosts compute alike.
func (s *Service) candidates(id string, residency []string) []Host {
	hosts := slices.DeleteFunc(slices.Clone(s.Peers.Hosts()), func(h Host) bool {
		return h.Dead || h.Name == s.Self.Name || !rules.Allows(residency, h.DataCentre)
	})
	slices.SortFunc(hosts, func(a, b Host) int {
		return cmp.Or(cmp.Compare(s.nearness(a), s.nearness(b)),
			cmp.Compare(xxhash.Sum64String(a.Name+"/"+id), xxhash.Sum64String(b.Name+"/"+id)))
	})
	return hosts[:min(copyCandidates, len(hosts))]
}

func (s *Service) nearness(h Host) int {
	if h.DataCentre == s.Self.DataCentre {
		return 1
	}
	return 0
}

// settle proposes the attempt's settlement once; the background loop repeats
// it until the log confirms.
func (s *Service) settle(id string) {
	command := s.core.Settlement(id)
	if command == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	if err := s.proposeSettlement(ctx, id, command); err != nil {
		s.poke()
	}
}

func (s *Service) proposeSettlement(ctx context.Context, id string, command *pb.Command) error {
	result, err := s.propose(ctx, command)
	if err != nil {
		return err
	}
	if result.GetOutcome() == pb.Result_INVALID {
		return errUnexpected(result)
	}
	s.core.Settled(id)
	return nil
}

func (s *Service) poke() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Run proposes settlements that the log has not confirmed, until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	period := settlePeriod
	nextTick := time.Now().Add(tickPeriod)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.wake:
		case <-time.After(period):
		}
		if s.settlePending(ctx) {
			period = settlePeriod
		} else {
			period = min(2*period, maxSettlePeriod)
		}
		if s.Ticks && time.Now().After(nextTick) {
			nextTick = time.Now().Add(tickPeriod)
			s.tick(ctx)
		}
	}
}

func (s *Service) tick(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	if _, err := s.propose(ctx, &pb.Command{Kind: &pb.Command_Look{Look: &pb.Look{}}}); err != nil {
		s.Count("operations.tick_failed")
	}
}

// settlePending reports whether all proposals were confirmed.
func (s *Service) settlePending(ctx context.Context) bool {
	ok := true
	for batch := range slices.Chunk(s.core.Pending(), settleConcurrency) {
		if !s.settleBatch(ctx, batch) {
			ok = false
			break
		}
	}
	return ok
}

func (s *Service) settleBatch(ctx context.Context, batch []string) bool {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	failed := make([]bool, len(batch))
	var all sync.WaitGroup
	for i, id := range batch {
		command := s.core.Settlement(id)
		if command == nil {
			continue
		}
		all.Go(func() { failed[i] = s.proposeSettlement(ctx, id, command) != nil })
	}
	all.Wait()
	return !slices.Contains(failed, true)
}

// resend answers a request whose key has a record of another attempt. again is
// true when Begin should be tried again: that attempt was released, or its host
// knows nothing of it. The latter may have ended it after the record was read,
// so the record is read once more; seen is the attempt of the earlier reading.
func (s *Service) resend(ctx context.Context, begin *pb.Begin, r *pb.Record, seen string, sink dispatch.Sink) (again bool, err error) {
	if !hmac.Equal(r.GetBodyDigest(), begin.GetBodyDigest()) || r.GetWorkspace() != begin.GetWorkspace() {
		return false, mismatch()
	}
	state, answer, silent := s.find(ctx, r)
	if answer != nil {
		s.Count("operations.replayed")
		return false, replay(answer, sink)
	}
	if state == pb.StatusResponse_NOT_RUN {
		return s.release(ctx, r.GetAttempt()), conclude(r, state, silent)
	}
	stale := state == pb.StatusResponse_UNKNOWN && r.GetFinishedMs() == 0 && seen != r.GetAttempt()
	return stale && !silent, conclude(r, state, silent || stale)
}

// release abandons the attempt of another host that said it did not run it.
func (s *Service) release(ctx context.Context, id string) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	result, err := s.propose(ctx, &pb.Command{Kind: &pb.Command_Abandon{Abandon: &pb.Abandon{Attempt: id}}})
	return err == nil && result.GetOutcome() == pb.Result_DONE
}

// find looks for the answer of the record's attempt: here, on the host that
// dispatched it, and on the hosts of its second copy. silent is true when one
// of them did not reply.
func (s *Service) find(ctx context.Context, r *pb.Record) (known pb.StatusResponse_State, answer *pb.Answer, silent bool) {
	request := &pb.StatusRequest{Attempt: r.GetAttempt(), DataCentre: s.Self.DataCentre}
	for _, name := range s.holders(r) {
		response, err := s.ask(ctx, name, request)
		if err != nil {
			silent = true
			continue
		}
		if a := response.GetAnswer(); a != nil && s.genuine(r, a) {
			return response.GetState(), a, silent
		}
		if name == r.GetHost() {
			known = response.GetState()
		}
		if known == pb.StatusResponse_RUNNING || known == pb.StatusResponse_NOT_RUN {
			break
		}
	}
	return known, nil, silent
}

// holders are the hosts to ask, in order and without repetition.
func (s *Service) holders(r *pb.Record) []string {
	names := []string{s.Self.Name, r.GetHost()}
	names = append(names, r.GetHolders()...)
	if r.GetFinishedMs() == 0 {
		at := &Service{Config: s.Config}
		at.Self = Host{Name: r.GetHost(), DataCentre: r.GetDataCentre()}
		for _, h := range at.candidates(r.GetAttempt(), nil) {
			names = append(names, h.Name)
		}
	}
	var out []string
	for _, n := range names {
		if !slices.Contains(out, n) {
			out = append(out, n)
		}
	}
	return out
}

// ask asks a host about an attempt. A host that is no longer in the fleet
// counts as one that knows nothing.
func (s *Service) ask(ctx context.Context, name string, request *pb.StatusRequest) (*pb.StatusResponse, error) {
	if name == s.Self.Name {
		return s.status(request), nil
	}
	hosts := s.Peers.Hosts()
	i := slices.IndexFunc(hosts, func(h Host) bool { return h.Name == name })
	if i < 0 {
		return &pb.StatusResponse{}, nil
	}
	if hosts[i].Dead {
		return nil, errDeadHost
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	return s.Peers.Status(ctx, hosts[i], request)
}

// genuine checks an answer against the record, so that a damaged or crossed
// copy is never passed on.
func (s *Service) genuine(r *pb.Record, a *pb.Answer) bool {
	if validateAnswer(a) != nil || a.GetAttempt() != r.GetAttempt() || a.GetWorkspace() != r.GetWorkspace() {
		return false
	}
	ok := r.GetFinishedMs() == 0 || hmac.Equal(s.answerDigest(a), r.GetAnswerDigest())
	if !ok {
		s.Count("operations.answer_damaged")
	}
	return ok
}

// status answers what this host knows about an attempt. An answer is given out
// only to data centres that its residency allows.
func (s *Service) status(in *pb.StatusRequest) *pb.StatusResponse {
	state, answer := s.core.Status(in.GetAttempt())
	if answer == nil && state == pb.StatusResponse_UNKNOWN {
		answer = s.Store.Get(in.GetAttempt(), time.Now())
	}
	switch {
	case answer == nil:
		return &pb.StatusResponse{State: state}
	case in.GetDataCentre() == "":
		return &pb.StatusResponse{State: pb.StatusResponse_ANSWERED}
	case !rules.Allows(answer.GetResidency(), in.GetDataCentre()):
		s.Count("invariant.operations.residency")
		return &pb.StatusResponse{State: pb.StatusResponse_UNKNOWN}
	}
	return &pb.StatusResponse{State: pb.StatusResponse_ANSWERED, Answer: answer}
}

func replay(a *pb.Answer, sink dispatch.Sink) error {
	header := maps.Clone(a.GetHeader())
	if header == nil {
		header = map[string]string{}
	}
	header[HeaderReplayed] = "true"
	header["Content-Length"] = strconv.Itoa(len(a.GetBody()))
	if err := sink.Start(int(a.GetStatus()), header); err != nil {
		return dispatch.ErrResponseTruncated
	}
	if err := sink.Write(a.GetBody()); err != nil {
		return dispatch.ErrResponseTruncated
	}
	return nil
}

// capture keeps an answer while it passes to the caller. A caller that left
// does not end the run.
type capture struct {
	next     dispatch.Sink
	status   int
	header   map[string]string
	body     []byte
	tooLarge bool
	// passing is true when the answer goes to the caller as it arrives.
	passing bool
	// gone is the caller's first write error.
	gone error
}

// Start implements dispatch.Sink.
func (c *capture) Start(status int, header map[string]string) error {
	c.status, c.header = status, maps.Clone(header)
	if strings.HasPrefix(header["Content-Type"], "text/event-stream") {
		c.pass()
	}
	return nil
}

// Write implements dispatch.Sink.
func (c *capture) Write(p []byte) error {
	if len(c.body)+len(p) > MaxAnswerBytes {
		c.pass()
		c.tooLarge = true
	}
	if !c.tooLarge {
		c.body = append(c.body, p...)
	}
	if c.passing {
		c.write(p)
	}
	return nil
}

// pass starts the caller's answer with what was kept so far.
func (c *capture) pass() {
	if c.passing {
		return
	}
	c.passing = true
	if c.gone = c.next.Start(c.status, c.header); c.gone == nil && len(c.body) > 0 {
		c.write(c.body)
	}
}

func (c *capture) write(p []byte) {
	if c.gone == nil {
		c.gone = c.next.Write(p)
	}
}

// release gives the whole answer to the caller and flushes it, so that the
// caller does not wait for the end of the record.
func (c *capture) release() error {
	c.pass()
	if f, ok := c.next.(interface{ Flush() error }); ok && c.gone == nil {
		c.gone = f.Flush()
	}
	if c.gone != nil {
		return dispatch.ErrResponseTruncated
	}
	return nil
}
