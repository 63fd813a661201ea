package operations

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	"geraniumturn.example/geraniumturn/internal/control"
	"geraniumturn.example/geraniumturn/internal/dispatch"
	pb "geraniumturn.example/geraniumturn/internal/operations/operationspb"
	"geraniumturn.example/geraniumturn/internal/refusal"
	"geraniumturn.example/geraniumturn/internal/rules"
)

var (
	schedules = flag.Int("schedules", 400, "randomised schedules of TestSchedules")
	firstSeed = flag.Uint64("seed", 1, "seed of the first schedule")
)

const (
	simWorkers = 8
	simHosts   = 4
	simWindow  = 20 * time.Second
)

var errCrashed = errors.New("host crashed")

// sim runs the real services and machines in virtual time, with a log that loses
// results and duplicates and delays proposals, and with hosts that crash.
type sim struct {
	t    *testing.T
	seed uint64
	log  *simLog
	// background counts goroutines that may outlive the call that started them.
	background sync.WaitGroup

	mu    sync.Mutex
	rng   *rand.Rand
	hosts []*simHost
	// runs are the calls that the target executed, by idempotency key.
	runs map[string][]string
	// callBody is the body of each call, keyBodies the bodies sent with each key.
	callBody  map[string]string
	keyBodies map[string]map[string]bool
	// isolatedDC is the data centre that is partitioned from the others, if any.
	isolatedDC string
	// residencyNarrowed is set once the rules exclude data centre b.
	residencyNarrowed atomic.Bool
	crashes           int
	// unknown has the keys of runs with an unknown outcome.
	unknown   map[string]bool
	failures  []string
	history   []porcupine.Operation
	startedAt time.Time
}

// simLog applies each command to two replicas, which must return equal results. It
// sometimes restores the second one from its own snapshot.
type simLog struct {
	mu       sync.Mutex
	index    uint64
	replicas [2]*Machine
	s        *sim
}

func (l *simLog) apply(command []byte) []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.index++
	out := l.replicas[0].Apply(l.index, command)
	if string(out) != string(l.replicas[1].Apply(l.index, command)) {
		l.s.fail("replicas returned different results")
	}
	if l.s.chance(2) {
		snapshot, err := l.replicas[1].Snapshot()
		if err == nil {
			err = l.replicas[1].Restore(snapshot)
		}
		if err != nil {
			l.s.fail("snapshot: %v", err)
		}
	}
	return out
}

func (s *sim) chance(percent int) bool { return s.pick(100) < percent }

func (s *sim) pick(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.IntN(n)
}

func (s *sim) randomDelay(limit time.Duration) time.Duration {
	return time.Duration(s.pick(int(limit)) + 1)
}

func (s *sim) fail(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures = append(s.failures, fmt.Sprintf(format, args...))
}

// simHost is one host. A crash replaces its process.
type simHost struct {
	s    *sim
	self Host
	// disk is true when the store survives a crash.
	disk    bool
	allowed func(workspace string) bool
	process *simProcess
}

// simProcess is the process of a host between two crashes. It implements control.Log
// and Peers.
type simProcess struct {
	h       *simHost
	crashed chan struct{}
	service *Service
	stop    context.CancelFunc
}

func (h *simHost) start(store *Store) {
	ctx, stop := context.WithCancel(context.Background())
	process := &simProcess{h: h, crashed: make(chan struct{}), stop: stop}
	if store == nil {
		store, _ = OpenStore("", h.self.DataCentre, h.allowed, time.Now())
	}
	process.service = NewService(Config{Self: h.self, Log: process, Peers: process, Store: store, DigestKey: []byte("digest key of the test"),
		Count: func(name string) {
			if len(name) > 10 && name[:10] == "invariant." && (name != "invariant.operations.residency" || !h.s.residencyNarrowed.Load()) {
				h.s.fail("%s on %s", name, h.self.Name)
			}
		}})
	h.process = process
	h.s.background.Go(func() { _ = process.service.Run(ctx) })
}

func (s *sim) currentProcess(i int) *simProcess {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hosts[i].process
}

func (h *simHost) crash() {
	h.s.mu.Lock()
	defer h.s.mu.Unlock()
	close(h.process.crashed)
	h.process.stop()
	h.s.crashes++
	var store *Store
	if h.disk {
		store = h.process.service.Store
	}
	h.start(store)
}

// wait sleeps. It returns an error if the host crashes or the context ends before.
func (p *simProcess) wait(ctx context.Context, d time.Duration) error {
	select {
	case <-p.crashed:
		return errCrashed
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

func (p *simProcess) isCrashed() bool {
	select {
	case <-p.crashed:
		return true
	default:
		return false
	}
}

func (p *simProcess) isIsolated() bool {
	p.h.s.mu.Lock()
	defer p.h.s.mu.Unlock()
	return p.h.s.isolatedDC == p.h.self.DataCentre
}

// Propose implements control.Log with all failures that its contract allows: it refuses
// the command, or loses, delays or duplicates it, or loses its result.
func (p *simProcess) Propose(ctx context.Context, _ string, command []byte) ([]byte, error) {
	s := p.h.s
	if p.isIsolated() || s.chance(3) {
		return nil, fmt.Errorf("%w: simulated", control.ErrNoQuorum)
	}
	if s.chance(4) { // applied after the proposer gave up
		applyDelay := s.randomDelay(15 * time.Second)
		s.background.Go(func() {
			time.Sleep(applyDelay)
			s.log.apply(command)
		})
		_ = p.wait(ctx, s.randomDelay(time.Second))
		return nil, fmt.Errorf("%w: delayed", control.ErrUncertain)
	}
	if err := p.wait(ctx, s.randomDelay(120*time.Millisecond)); err != nil {
		return nil, fmt.Errorf("%w: %v", control.ErrUncertain, err) // lost before it was appended
	}
	out := s.log.apply(command)
	if s.chance(10) {
		duplicateDelay := s.randomDelay(10 * time.Second)
		s.background.Go(func() {
			time.Sleep(duplicateDelay)
			s.log.apply(command)
		})
	}
	if err := p.wait(ctx, s.randomDelay(120*time.Millisecond)); err != nil || s.chance(5) {
		return nil, fmt.Errorf("%w: result lost", control.ErrUncertain)
	}
	return out, nil
}

func (*simProcess) Lease() (uint64, bool)         { return 0, false }
func (*simProcess) LeaseRemaining() time.Duration { return 0 }

func (p *simProcess) Hosts() []Host {
	var out []Host
	for _, h := range p.h.s.hosts {
		if h != p.h {
			out = append(out, h.self)
		}
	}
	return out
}

func (p *simProcess) reach(ctx context.Context, host Host) (*simProcess, error) {
	s := p.h.s
	if err := p.wait(ctx, s.randomDelay(60*time.Millisecond)); err != nil {
		return nil, err
	}
	for i, h := range s.hosts {
		if h.self.Name == host.Name {
			to := s.currentProcess(i)
			if to.isIsolated() != p.isIsolated() || to.isCrashed() || s.chance(3) {
				return nil, errors.New("unreachable")
			}
			return to, nil
		}
	}
	return nil, errors.New("no such host")
}

func (p *simProcess) Status(ctx context.Context, host Host, in *pb.StatusRequest) (*pb.StatusResponse, error) {
	to, err := p.reach(ctx, host)
	if err != nil {
		return nil, err
	}
	return RPC{to.service}.Status(ctx, in)
}

func (p *simProcess) Store(ctx context.Context, host Host, a *pb.Answer) error {
	to, err := p.reach(ctx, host)
	if err != nil {
		return err
	}
	_, err = RPC{to.service}.Store(ctx, &pb.StoreRequest{Answer: a})
	return err
}

// run simulates the target: it executes the call once and responds, refuses it before
// execution, or leaves the outcome unknown.
func (p *simProcess) run(key, call string, executed *string) Runner {
	s := p.h.s
	return func(ctx context.Context, sink dispatch.Sink) (dispatch.Result, error) {
		if p.isCrashed() || s.chance(15) {
			return dispatch.Result{}, refusal.New(refusal.NoTarget, refusal.NotRun, "simulated")
		}
		if err := p.wait(ctx, s.randomDelay(500*time.Millisecond)); err != nil {
			return dispatch.Result{}, refusal.New(refusal.TargetFailed, refusal.NotRun, "%v", err)
		}
		s.mu.Lock()
		s.runs[key] = append(s.runs[key], call)
		*executed = call
		s.mu.Unlock()
		if err := p.wait(ctx, s.randomDelay(time.Second)); err != nil || s.chance(10) {
			s.mu.Lock()
			s.unknown[key] = true
			s.mu.Unlock()
			return dispatch.Result{}, refusal.New(refusal.TargetFailed, refusal.Unknown, "simulated")
		}
		_ = sink.Start(200, map[string]string{"Content-Type": "text/plain"})
		_ = sink.Write([]byte(call))
		return dispatch.Result{Status: 200}, nil
	}
}

type simSink struct {
	replayed bool
	body     []byte
	// writeFails is true when the caller has disconnected.
	writeFails bool
}

func (k *simSink) Start(_ int, header map[string]string) error {
	k.replayed = header[HeaderReplayed] == "true"
	if k.writeFails {
		return errors.New("caller disconnected")
	}
	return nil
}

func (k *simSink) Write(p []byte) error {
	k.body = append(k.body, p...)
	return nil
}

// callOutput is the output of one call in the history that porcupine checks: the call
// that the target executed for it, and the call whose response was replayed.
type callOutput struct{ executed, replayed string }

// call sends one request with the key through a host and checks the result.
func (s *sim) call(host int, key, body string, number int) error {
	p := s.currentProcess(host)
	id := fmt.Sprintf("%s-call-%d", key, number)
	executed := ""
	sink := &simSink{writeFails: s.chance(5)}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if s.chance(10) { // the caller disconnects early
		leaveAfter := s.randomDelay(2 * time.Second)
		stop := context.AfterFunc(ctx, func() {})
		defer stop()
		time.AfterFunc(leaveAfter, cancel)
	}
	start := time.Since(s.startedAt)
	s.mu.Lock()
	s.callBody[id] = body
	if s.keyBodies[key] == nil {
		s.keyBodies[key] = map[string]bool{}
	}
	s.keyBodies[key][body] = true
	s.mu.Unlock()
	_, err := p.service.Do(ctx, Operation{Workspace: "w", Key: key, Method: "POST", Path: "/f", Body: []byte(body),
		Residency: s.residency(key), Deadline: time.Now().Add(10 * time.Second)}, sink, p.run(key, id, &executed))
	s.mu.Lock()
	defer s.mu.Unlock()
	out := callOutput{executed: executed}
	if p.isCrashed() {
		err = errCrashed
	}
	if err == nil && sink.replayed {
		out.replayed = string(sink.body)
	}
	end := time.Since(s.startedAt)
	s.history = append(s.history, porcupine.Operation{ClientId: number, Input: key, Output: out, Call: int64(start), Return: int64(end)})
	refused, isRefusal := errors.AsType[*refusal.Error](err)
	switch {
	case err == nil && !sink.replayed && string(sink.body) != id:
		s.failures = append(s.failures, fmt.Sprintf("call %s got response %q", id, sink.body))
	case isRefusal && refused.Ran == refusal.NotRun && executed != "":
		s.failures = append(s.failures, fmt.Sprintf("call %s was refused with not_run (%v) but ran", id, refused))
	case isRefusal && refused.Code == refusal.OperationMismatch && len(s.keyBodies[key]) < 2:
		s.failures = append(s.failures, "operation_mismatch for equal bodies")
	case err == nil && sink.replayed && s.callBody[string(sink.body)] != body:
		s.failures = append(s.failures, fmt.Sprintf("call %s with body %q got the response to another body", id, body))
	}
	return err
}

// residency binds half of the keys to two of the three data centres.
func (s *sim) residency(key string) []string {
	if key[len(key)-1]%2 == 0 {
		return []string{"a", "b"}
	}
	return nil
}

func (s *sim) allowed(key string, host int) bool {
	return rules.Allows(s.residency(key), s.hosts[host].self.DataCentre)
}

func newSim(t *testing.T, seed uint64) *sim {
	s := &sim{t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 7)), runs: map[string][]string{}, unknown: map[string]bool{},
		callBody: map[string]string{}, keyBodies: map[string]map[string]bool{}, startedAt: time.Now()}
	s.log = &simLog{s: s, replicas: [2]*Machine{NewMachine(), NewMachine()}}
	for i := range simHosts {
		dc := []string{"a", "a", "b", "c"}[i]
		h := &simHost{s: s, self: Host{Name: "h" + strconv.Itoa(i), DataCentre: dc}, disk: s.chance(50)}
		h.allowed = func(string) bool { return !(s.residencyNarrowed.Load() && dc == "b") }
		s.hosts = append(s.hosts, h)
	}
	for _, h := range s.hosts {
		h.start(nil)
	}
	return s
}

// runSchedule runs calls and faults for simWindow, heals the faults, and then resends
// each key.
func (s *sim) runSchedule() {
	keys := []string{"key0", "key1", "key2"}[:1+s.pick(3)]
	var all sync.WaitGroup
	for i := range 4 + s.pick(8) {
		at, host, key, body := s.randomDelay(simWindow), s.pick(simHosts), keys[s.pick(len(keys))], "body"
		if i > 2 && s.chance(5) {
			body = "another body"
		}
		if !s.allowed(key, host) {
			host = 0
		}
		all.Go(func() {
			time.Sleep(at)
			_ = s.call(host, key, body, i)
		})
	}
	for range s.pick(4) {
		at, host := s.randomDelay(simWindow), s.pick(simHosts)
		all.Go(func() {
			time.Sleep(at)
			s.hosts[host].crash()
		})
	}
	if s.chance(40) {
		from, to, dc := s.randomDelay(simWindow), s.randomDelay(simWindow), []string{"a", "b", "c"}[s.pick(3)]
		all.Go(func() {
			time.Sleep(from)
			s.setIsolated(dc)
			time.Sleep(to)
			s.setIsolated("")
		})
	}
	all.Wait()
	if s.chance(30) {
		s.narrowResidency()
	}
	time.Sleep(time.Minute) // virtual time: all delayed commands have been applied
	s.finalResends(keys)
	s.checkResidency()
	for _, h := range s.hosts {
		h.process.stop()
	}
	s.background.Wait()
}

func (s *sim) setIsolated(dc string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isolatedDC = dc
}

// narrowResidency excludes data centre b from the residency of the workspace.
func (s *sim) narrowResidency() {
	s.residencyNarrowed.Store(true)
	for _, h := range s.hosts {
		h.process.service.Store.EnforceResidency(time.Now())
	}
}

// finalResends checks that no key is stuck: a resend gets a response unless a crash, an
// unknown outcome, a change of residency or another body for the key prevents it.
func (s *sim) finalResends(keys []string) {
	for _, key := range keys {
		var err error
		for try := range 60 {
			if err = s.call(try%2, key, "body", 1000+try); err == nil || s.isFinal(err) {
				break
			}
			time.Sleep(time.Second)
		}
		if err != nil && s.crashes == 0 && !s.unknown[key] && !s.residencyNarrowed.Load() &&
			len(s.keyBodies[key]) < 2 && !errors.Is(err, dispatch.ErrResponseTruncated) {
			s.fail("key %s is stuck: %v", key, err)
		}
	}
}

// isFinal reports whether a later resend cannot succeed either.
func (*sim) isFinal(err error) bool {
	refused, ok := errors.AsType[*refusal.Error](err)
	return ok && (refused.Code == refusal.OperationMismatch || refused.Ran != refusal.NotRun && refused.RetryAfter == 0)
}

func (s *sim) checkResidency() {
	for _, h := range s.hosts {
		store := h.process.service.Store
		for _, id := range store.Attempts() {
			a, err := decodeAnswer(store.memory[id])
			if err != nil || !rules.Allows(a.GetResidency(), h.self.DataCentre) || s.residencyNarrowed.Load() && h.self.DataCentre == "b" {
				s.fail("answer %s on %s is corrupt or violates residency: %v", id, h.self.Name, err)
			}
		}
	}
}

func (s *sim) verify(t *testing.T) {
	for _, r := range s.log.replicas[0].records {
		if r.FinishedMs != 0 && len(r.Holders) == 0 && !s.residencyNarrowed.Load() {
			s.failures = append(s.failures, "a finished record has no holders")
		}
	}
	for key, runs := range s.runs {
		if len(runs) > 1 {
			s.failures = append(s.failures, fmt.Sprintf("key %s ran %d times: %v", key, len(runs), runs))
		}
	}
	if !porcupine.CheckOperations(atMostOnce, s.history) {
		s.failures = append(s.failures, "the history is not linearizable: an operation ran twice or another response was replayed")
	}
	for _, text := range s.failures {
		t.Errorf("seed %d: %s", s.seed, text)
	}
}

// atMostOnce is the sequential model of one key: it is executed at most once, and only
// the response of that execution is replayed.
var atMostOnce = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[any][]porcupine.Operation{}
		for _, op := range history {
			byKey[op.Input] = append(byKey[op.Input], op)
		}
		var out [][]porcupine.Operation
		for _, ops := range byKey {
			out = append(out, ops)
		}
		return out
	},
	Init: func() any { return "" },
	Step: func(state, _, output any) (bool, any) {
		out := output.(callOutput)
		switch {
		case out.executed != "":
			return state == "", out.executed
		case out.replayed != "":
			return state == out.replayed, state
		}
		return true, state
	},
}

// Checks, under lost results, duplicated and delayed proposals, crashes and
// partitions, that a key runs at most once, a replayed response is that of the run, a
// request refused with not_run did not run, no answer is stored where residency
// forbids it, and no key is stuck without a cause. More schedules:
//
//	go test ./internal/operations -run TestSchedules -schedules 10000 -seed 1
func TestSchedules(t *testing.T) {
	for w := range simWorkers {
		t.Run(strconv.Itoa(w), func(t *testing.T) {
			t.Parallel()
			for i := w; i < *schedules; i += simWorkers {
				seed := *firstSeed + uint64(i)
				synctest.Test(t, func(t *testing.T) {
					s := newSim(t, seed)
					s.runSchedule()
					s.verify(t)
				})
				if t.Failed() {
					t.Fatalf("failed at seed %d", seed)
				}
			}
		})
	}
}
