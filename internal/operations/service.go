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
	// HeaderReplayed marks a response that an earlier request got.
	HeaderReplayed = "Geraniumturn-Replayed"

	// proposeTimeout covers the time without a leader after a leader failure, about 3 s.
	proposeTimeout = 5 * time.Second
	// closeTimeout is how long the caller's connection waits until the attempt is
	// closed in the log. Afterwards the background loop retries.
	closeTimeout  = 2 * time.Second
	statusTimeout = time.Second
	// copyTimeout limits one attempt to store the second copy, totalCopyTimeout all
	// of them. The caller waits for the copy before it gets the response.
	copyTimeout      = 400 * time.Millisecond
	totalCopyTimeout = time.Second
	// copyCandidates is how many hosts are tried for the second copy, and asked for
	// it when the dispatching host does not reply.
	copyCandidates = 3

	// closeInterval and maxCloseInterval are the initial and the longest backoff
	// between tries of the background loop to close attempts.
	closeInterval    = 200 * time.Millisecond
	maxCloseInterval = 5 * time.Second
	closeConcurrency = 16
	// tickInterval is how often a voter advances the agreed time without traffic.
	tickInterval = 10 * time.Minute
	// maxBeginTries is how often Begin is tried when the record of another attempt
	// that was not run is abandoned in between.
	maxBeginTries = 3
)

var errDeadHost = errors.New("operations: host is taken as dead")

// Operation is a non-idempotent request that its caller may resend.
type Operation struct {
	Workspace string
	// Key is the caller's Idempotency-Key.
	Key string
	// Method, Path, Query and Body must be the same in each request with the key.
	Method    string
	Path      string
	Query     string
	Body      []byte
	RequestID string
	// Residency lists the data centres that may store the response; empty means all.
	Residency []string
	// Deadline is the time after which the operation is not dispatched.
	Deadline time.Time
}

// Host is a host that can store a second copy.
type Host struct {
	Name        string
	DataCentre  string
	PeerAddress string
	// Dead is true when the host is considered failed. It is then neither queried nor
	// sent copies.
	Dead bool
}

// Peers calls the other hosts.
type Peers interface {
	// Hosts lists the other hosts of the fleet.
	Hosts() []Host
	Status(ctx context.Context, host Host, request *pb.StatusRequest) (*pb.StatusResponse, error)
	Store(ctx context.Context, host Host, answer *pb.Answer) error
}

// Config has the dependencies of a Service.
type Config struct {
	Self      Host
	Log       control.Log
	Peers     Peers
	Store     *Store
	DigestKey []byte
	// Count increments a counter.
	Count func(name string)
	// Ticks is true on the voters, which advance the agreed time when there is no
	// traffic.
	Ticks bool
}

// Service runs operations on one host.
type Service struct {
	Config
	tracker *AttemptTracker
	// wake starts the background loop before its interval has passed.
	wake chan struct{}
}

// NewService returns a service. The caller must start Run.
func NewService(config Config) *Service {
	violated := func(name string) { config.Count("invariant." + name) }
	return &Service{Config: config, tracker: NewAttemptTracker(violated), wake: make(chan struct{}, 1)}
}

// Runner runs the request once and copies the response to the sink.
type Runner = func(ctx context.Context, sink dispatch.Sink) (dispatch.Result, error)

// Do runs the operation at most once across all hosts, or replays the response of an
// earlier run. An error is a *refusal.Error or dispatch.ErrResponseTruncated. A run
// continues when the caller disconnects, so that a resend gets its response; it ends
// when ctx is cancelled with a cause other than context.Canceled or
// context.DeadlineExceeded.
func (s *Service) Do(ctx context.Context, op Operation, sink dispatch.Sink, run Runner) (dispatch.Result, error) {
	begin := s.beginCommand(op)
	previousAttempt := ""
	for try := 1; ; try++ {
		begin.Attempt = newAttempt()
		next, err := s.begin(ctx, begin, op.Deadline)
		switch {
		case err != nil:
			return dispatch.Result{}, err
		case next.dispatch:
			return s.dispatch(ctx, begin.Attempt, op, sink, run)
		}
		retry, err := s.resend(ctx, begin, next.record, previousAttempt, sink)
		previousAttempt = next.record.GetAttempt()
		if !retry || try == maxBeginTries {
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

// KeyDigest returns the keyed digest that the log contains instead of the caller's
// Idempotency-Key.
func (s *Service) KeyDigest(workspace, key string) []byte { return s.digest("key", workspace, key) }

func (s *Service) digest(fields ...string) []byte {
	mac := hmac.New(sha256.New, s.DigestKey)
	for _, f := range fields {
		writeField(mac, f)
	}
	return mac.Sum(nil)
}

// writeField writes length and content, so that different lists of fields never
// give the same bytes.
func writeField(h hash.Hash, field string) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(field)))
	_, _ = h.Write(length[:])
	_, _ = h.Write([]byte(field))
}

func newAttempt() string {
	raw := make([]byte, attemptLen/2)
	_, _ = rand.Read(raw) // never fails since Go 1.24
	return hex.EncodeToString(raw)
}

func (s *Service) begin(ctx context.Context, begin *pb.Begin, deadline time.Time) (decision, error) {
	id := begin.GetAttempt()
	if refused := s.tracker.Start(id); refused != nil {
		return decision{}, refused
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), min(proposeTimeout, time.Until(deadline)))
	defer cancel()
	result, err := s.propose(ctx, &pb.Command{Kind: &pb.Command_Begin{Begin: begin}})
	next := s.tracker.HandleBegin(id, result, err)
	if next.refuse != nil {
		s.wakeLoop()
		return decision{}, next.refuse
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

// dispatch runs the operation whose record belongs to this attempt.
func (s *Service) dispatch(ctx context.Context, id string, op Operation, sink dispatch.Sink, run Runner) (dispatch.Result, error) {
	if ctx.Err() != nil || !time.Now().Before(op.Deadline) {
		s.tracker.MarkNotDispatched(id)
		s.closeAttempt(id)
		return dispatch.Result{}, refusal.New(refusal.Deadline, refusal.NotRun, "the caller left or the deadline passed before the operation ran")
	}
	runCtx, cancel := detach(ctx)
	defer cancel()
	recorder := &recordingSink{sink: sink}
	result, err := run(runCtx, recorder)
	answer, digest := s.buildAnswer(id, op, recorder, err)
	s.tracker.HandleRun(id, recorder.status, answer, digest, err)
	// The answer is stored before the caller gets the response, so that each response
	// that a caller got can be replayed.
	s.tracker.SetHolders(id, s.storeAnswer(answer))
	var closing sync.WaitGroup
	closing.Go(func() { s.closeAttempt(id) })
	defer closing.Wait()
	if err != nil {
		return result, err
	}
	return result, recorder.finish()
}

// detach returns a context that is not cancelled with the caller's connection, but is
// by any other cause, such as a withdrawn key.
func detach(ctx context.Context) (context.Context, func()) {
	runCtx, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, func() {
		cause := context.Cause(ctx)
		if !errors.Is(cause, context.Canceled) && !errors.Is(cause, context.DeadlineExceeded) {
			cancel(cause)
		}
	})
	return runCtx, func() {
		stop()
		cancel(nil)
	}
}

func (s *Service) buildAnswer(id string, op Operation, r *recordingSink, err error) (*pb.Answer, []byte) {
	if err != nil || r.status == 0 || r.tooLarge {
		return nil, nil
	}
	a := &pb.Answer{
		Attempt: id, Workspace: op.Workspace, Status: int32(r.status), Header: r.header, Body: r.body,
		Residency: op.Residency, ExpiresMs: time.Now().Add(Retention).UnixMilli(),
	}
	return a, s.answerDigest(a)
}

func (s *Service) answerDigest(a *pb.Answer) []byte {
	fields := []string{"answer", a.GetAttempt(), a.GetWorkspace(), strconv.Itoa(int(a.GetStatus())), string(a.GetBody())}
	for _, name := range slices.Sorted(maps.Keys(a.GetHeader())) {
		fields = append(fields, name, a.GetHeader()[name])
	}
	return s.digest(fields...)
}

// storeAnswer stores the answer on this host and on one more, and returns the names
// of the hosts that succeeded.
func (s *Service) storeAnswer(a *pb.Answer) []string {
	if a == nil {
		return nil
	}
	var local, remote string
	var stores sync.WaitGroup
	stores.Go(func() {
		if s.storeLocal(a) == nil {
			local = s.Self.Name
		}
	})
	stores.Go(func() { remote = s.storeCopy(a) })
	stores.Wait()
	return slices.DeleteFunc([]string{local, remote}, func(name string) bool { return name == "" })
}

func (s *Service) storeLocal(a *pb.Answer) error {
	err := s.Store.Put(a, time.Now())
	switch {
	case errors.Is(err, ErrResidency):
		s.Count("invariant.operations.residency")
	case err != nil:
		s.Count("operations.store_failed")
	}
	return err
}

// storeCopy stores the second copy on the first candidate that takes it and returns
// the name of that host, or an empty string.
func (s *Service) storeCopy(a *pb.Answer) string {
	totalCtx, cancel := context.WithTimeout(context.Background(), totalCopyTimeout)
	defer cancel()
	for _, h := range s.candidates(a.GetAttempt(), a.GetResidency()) {
		if !rules.Allows(a.GetResidency(), h.DataCentre) {
			s.Count("invariant.operations.residency")
			continue
		}
		ctx, cancel := context.WithTimeout(totalCtx, copyTimeout)
		err := s.Peers.Store(ctx, h, a)
		cancel()
		if err == nil {
			return h.Name
		}
		s.Count("operations.copy_failed")
	}
	return ""
}

// candidates returns the hosts for the second copy of an attempt's answer in order of
// preference: hosts in another data centre first, so that a copy survives the loss of
// one, then by a hash of host and attempt that is the same on all hosts.
func (s *Service) candidates(id string, residency []string) []Host {
	hosts := slices.DeleteFunc(slices.Clone(s.Peers.Hosts()), func(h Host) bool {
		return h.Dead || h.Name == s.Self.Name || !rules.Allows(residency, h.DataCentre)
	})
	slices.SortFunc(hosts, func(a, b Host) int {
		return cmp.Or(cmp.Compare(s.localityRank(a), s.localityRank(b)),
			cmp.Compare(xxhash.Sum64String(a.Name+"/"+id), xxhash.Sum64String(b.Name+"/"+id)))
	})
	return hosts[:min(copyCandidates, len(hosts))]
}

func (s *Service) localityRank(h Host) int {
	if h.DataCentre == s.Self.DataCentre {
		return 1
	}
	return 0
}

// closeAttempt proposes the closing command of the attempt once. If it fails, the
// background loop retries it until the log confirms it.
func (s *Service) closeAttempt(id string) {
	command := s.tracker.ClosingCommand(id)
	if command == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if err := s.proposeClosing(ctx, id, command); err != nil {
		s.wakeLoop()
	}
}

func (s *Service) proposeClosing(ctx context.Context, id string, command *pb.Command) error {
	result, err := s.propose(ctx, command)
	if err != nil {
		return err
	}
	if result.GetOutcome() == pb.Result_INVALID {
		return unexpectedResult(result)
	}
	s.tracker.Remove(id)
	return nil
}

// wakeLoop makes the background loop run without waiting for its interval.
func (s *Service) wakeLoop() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Run retries closing commands that the log has not confirmed, until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	interval := closeInterval
	nextTick := time.Now().Add(tickInterval)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.wake:
		case <-time.After(interval):
		}
		if s.closeAttempts(ctx) {
			interval = closeInterval
		} else {
			interval = min(2*interval, maxCloseInterval)
		}
		if s.Ticks && time.Now().After(nextTick) {
			nextTick = time.Now().Add(tickInterval)
			s.tick(ctx)
		}
	}
}

// tick proposes a command that changes no record, which advances the agreed time.
func (s *Service) tick(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	if _, err := s.propose(ctx, &pb.Command{Kind: &pb.Command_Look{Look: &pb.Look{}}}); err != nil {
		s.Count("operations.tick_failed")
	}
}

// closeAttempts proposes the closing commands of all attempts that have ended. It
// stops after the first batch with a failure and reports whether all were confirmed.
func (s *Service) closeAttempts(ctx context.Context) bool {
	ok := true
	for batch := range slices.Chunk(s.tracker.Unclosed(), closeConcurrency) {
		if !s.closeBatch(ctx, batch) {
			ok = false
			break
		}
	}
	return ok
}

func (s *Service) closeBatch(ctx context.Context, batch []string) bool {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	failed := make([]bool, len(batch))
	var proposals sync.WaitGroup
	for i, id := range batch {
		command := s.tracker.ClosingCommand(id)
		if command == nil {
			continue
		}
		proposals.Go(func() { failed[i] = s.proposeClosing(ctx, id, command) != nil })
	}
	proposals.Wait()
	return !slices.Contains(failed, true)
}

// resend handles a request whose key has a record of another attempt. retry is true
// when Begin should be tried again, either because that attempt was abandoned or
// because its host reported it as unknown. In the second case the attempt may have been
// closed after the record was read, so the record is read once more; previousAttempt
// is the attempt of the record that was read before.
func (s *Service) resend(ctx context.Context, begin *pb.Begin, r *pb.Record, previousAttempt string, sink dispatch.Sink) (retry bool, err error) {
	if !hmac.Equal(r.GetBodyDigest(), begin.GetBodyDigest()) || r.GetWorkspace() != begin.GetWorkspace() {
		return false, keyMismatch()
	}
	state, answer, hostFailed := s.findAnswer(ctx, r)
	if answer != nil {
		s.Count("operations.replayed")
		return false, replay(answer, sink)
	}
	if state == pb.StatusResponse_NOT_RUN {
		return s.abandon(ctx, r.GetAttempt()), resendRefusal(r, state, hostFailed)
	}
	maybeClosed := state == pb.StatusResponse_UNKNOWN && r.GetFinishedMs() == 0 && previousAttempt != r.GetAttempt()
	return maybeClosed && !hostFailed, resendRefusal(r, state, hostFailed || maybeClosed)
}

// abandon proposes Abandon for an attempt that its host reported as not run. It
// reports whether the record was removed.
func (s *Service) abandon(ctx context.Context, id string) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), closeTimeout)
	defer cancel()
	result, err := s.propose(ctx, &pb.Command{Kind: &pb.Command_Abandon{Abandon: &pb.Abandon{Attempt: id}}})
	return err == nil && result.GetOutcome() == pb.Result_DONE
}

// findAnswer looks for the answer of the record's attempt on this host, on the host
// that dispatched it, and on the hosts of its second copy. state is what the
// dispatching host reported. hostFailed is true when one of the hosts did not reply.
func (s *Service) findAnswer(ctx context.Context, r *pb.Record) (state pb.StatusResponse_State, answer *pb.Answer, hostFailed bool) {
	request := &pb.StatusRequest{Attempt: r.GetAttempt(), DataCentre: s.Self.DataCentre}
	for _, name := range s.hostsToQuery(r) {
		response, err := s.fetchStatus(ctx, name, request)
		if err != nil {
			hostFailed = true
			continue
		}
		if a := response.GetAnswer(); a != nil && s.matchesRecord(r, a) {
			return response.GetState(), a, hostFailed
		}
		if name == r.GetHost() {
			state = response.GetState()
		}
		if state == pb.StatusResponse_RUNNING || state == pb.StatusResponse_NOT_RUN {
			break
		}
	}
	return state, nil, hostFailed
}

// hostsToQuery returns the hosts that may know the attempt of the record, in order and
// without repetition. A record without a Finish names no holders, so the candidates
// for its second copy are included.
func (s *Service) hostsToQuery(r *pb.Record) []string {
	names := []string{s.Self.Name, r.GetHost()}
	names = append(names, r.GetHolders()...)
	if r.GetFinishedMs() == 0 {
		dispatcher := &Service{Config: s.Config}
		dispatcher.Self = Host{Name: r.GetHost(), DataCentre: r.GetDataCentre()}
		for _, h := range dispatcher.candidates(r.GetAttempt(), nil) {
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

// fetchStatus returns the status of an attempt on a host. For a host that is no
// longer in the fleet the status is unknown.
func (s *Service) fetchStatus(ctx context.Context, name string, request *pb.StatusRequest) (*pb.StatusResponse, error) {
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
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	return s.Peers.Status(ctx, hosts[i], request)
}

// matchesRecord reports whether an answer belongs to the record and is unchanged, so
// that a damaged copy or one of another operation is never replayed.
func (s *Service) matchesRecord(r *pb.Record, a *pb.Answer) bool {
	if validateAnswer(a) != nil || a.GetAttempt() != r.GetAttempt() || a.GetWorkspace() != r.GetWorkspace() {
		return false
	}
	ok := r.GetFinishedMs() == 0 || hmac.Equal(s.answerDigest(a), r.GetAnswerDigest())
	if !ok {
		s.Count("operations.answer_damaged")
	}
	return ok
}

// status returns the status of an attempt on this host. The answer is sent only to
// data centres that its residency allows.
func (s *Service) status(in *pb.StatusRequest) *pb.StatusResponse {
	state, answer := s.tracker.Status(in.GetAttempt())
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

// recordingSink records a response and writes it to the caller's sink. It holds a
// response that is not an event stream back until finish, unless it is too large to
// be stored. A write error of the caller's sink does not end the run.
type recordingSink struct {
	sink     dispatch.Sink
	status   int
	header   map[string]string
	body     []byte
	tooLarge bool
	// started is true once the response was started on the caller's sink; later
	// writes go to the sink as they arrive.
	started bool
	// sinkErr is the first error of the caller's sink.
	sinkErr error
}

// Start implements dispatch.Sink.
func (r *recordingSink) Start(status int, header map[string]string) error {
	r.status, r.header = status, maps.Clone(header)
	if strings.HasPrefix(header["Content-Type"], "text/event-stream") {
		r.startSink()
	}
	return nil
}

// Write implements dispatch.Sink.
func (r *recordingSink) Write(p []byte) error {
	if len(r.body)+len(p) > MaxAnswerBytes {
		r.startSink()
		r.tooLarge = true
	}
	if !r.tooLarge {
		r.body = append(r.body, p...)
	}
	if r.started {
		r.write(p)
	}
	return nil
}

// startSink starts the response on the caller's sink and writes what was recorded so
// far.
func (r *recordingSink) startSink() {
	if r.started {
		return
	}
	r.started = true
	if r.sinkErr = r.sink.Start(r.status, r.header); r.sinkErr == nil && len(r.body) > 0 {
		r.write(r.body)
	}
}

func (r *recordingSink) write(p []byte) {
	if r.sinkErr == nil {
		r.sinkErr = r.sink.Write(p)
	}
}

// finish writes the rest of the response to the caller's sink and flushes it, so that
// the caller gets it before the attempt is closed in the log.
func (r *recordingSink) finish() error {
	r.startSink()
	if f, ok := r.sink.(interface{ Flush() error }); ok && r.sinkErr == nil {
		r.sinkErr = f.Flush()
	}
	if r.sinkErr != nil {
		return dispatch.ErrResponseTruncated
	}
	return nil
}
