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

var errDead = errors.New("host crashed")

// sim runs the real services and machines in virtual time with a log that
// loses answers, duplicates and delays proposals, and hosts that crash.
type sim struct {
	t    *testing.T
	seed uint64
	log  *simLog
	// late are goroutines that may outlive the call that started them.
	late sync.WaitGroup

	mu    sync.Mutex
	rng   *rand.Rand
	hosts []*simHost
	// runs and answers are by idempotency key: what the target executed.
	runs map[string][]string
	// bodyOf is the body of each call; bodies are those sent under each key.
	bodyOf   map[string]string
	bodies   map[string]map[string]bool
	isolated string
	narrowed atomic.Bool
	crashes  int
	unknown  map[string]bool
	broken   []string
	history  []porcupine.Operation
	began    time.Time
}

// simLog applies commands to two replicas, which must stay equal.
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
		l.s.fail("replicas gave different results")
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

func (s *sim) delay(limit time.Duration) time.Duration {
	return time.Duration(s.pick(int(limit)) + 1)
}

func (s *sim) fail(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.broken = append(s.broken, fmt.Sprintf(format, args...))
}

// simHost is one host; a crash replaces its life.
type simHost struct {
	s         *sim
	self      Host
	disk      bool
	residence func(workspace string) bool
	life      *simLife
}

// simLife is a host between two crashes. It implements control.Log and Peers.
type simLife struct {
	h       *simHost
	dead    chan struct{}
	service *Service
	stop    context.CancelFunc
}

func (h *simHost) start(store *Store) {
	ctx, stop := context.WithCancel(context.Background())
	life := &simLife{h: h, dead: make(chan struct{}), stop: stop}
	if store == nil {
		store, _ = OpenStore("", h.self.DataCentre, h.residence, time.Now())
	}
	life.service = NewService(Config{Self: h.self, Log: life, Peers: life, Store: store, DigestKey: []byte("digest key of the test"),
		Count: func(name string) {
			if len(name) > 10 && name[:10] == "invariant." && (name != "invariant.operations.residency" || !h.s.narrowed.Load()) {
				h.s.fail("%s on %s", name, h.self.Name)
			}
		}})
	h.life = life
	h.s.late.Go(func() { _ = life.service.Run(ctx) })
}

func (s *sim) current(i int) *simLife {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hosts[i].life
}

func (h *simHost) crash() {
	h.s.mu.Lock()
	defer h.s.mu.Unlock()
	close(h.life.dead)
	h.life.stop()
	h.s.crashes++
	var store *Store
	if h.disk {
		store = h.life.service.Store
	}
	h.start(store)
}

// wait sleeps and reports an error when the host crashes or the context ends.
func (l *simLife) wait(ctx context.Context, d time.Duration) error {
	select {
	case <-l.dead:
		return errDead
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

func (l *simLife) isDead() bool {
	select {
	case <-l.dead:
		return true
	default:
		return false
	}
}

func (l *simLife) cutOff() bool {
	l.h.s.mu.Lock()
	defer l.h.s.mu.Unlock()
	return l.h.s.isolated == l.h.self.DataCentre
}

// Propose implements control.Log with every fault that its contract allows.
func (l *simLife) Propose(ctx context.Context, _ string, command []byte) ([]byte, error) {
	s := l.h.s
	if l.cutOff() || s.chance(3) {
		return nil, fmt.Errorf("%w: simulated", control.ErrNoQuorum)
	}
	if s.chance(4) { // applied late, after the proposer gave up
		late := s.delay(15 * time.Second)
		s.late.Go(func() {
			time.Sleep(late)
			s.log.apply(command)
		})
		_ = l.wait(ctx, s.delay(time.Second))
		return nil, fmt.Errorf("%w: late", control.ErrUncertain)
	}
	if err := l.wait(ctx, s.delay(120*time.Millisecond)); err != nil {
		return nil, fmt.Errorf("%w: %v", control.ErrUncertain, err) // lost before the append
	}
	out := s.log.apply(command)
	if s.chance(10) {
		again := s.delay(10 * time.Second)
		s.late.Go(func() {
			time.Sleep(again)
			s.log.apply(command)
		})
	}
	if err := l.wait(ctx, s.delay(120*time.Millisecond)); err != nil || s.chance(5) {
		return nil, fmt.Errorf("%w: answer lost", control.ErrUncertain)
	}
	return out, nil
}

func (*simLife) Lease() (uint64, bool)         { return 0, false }
func (*simLife) LeaseRemaining() time.Duration { return 0 }

func (l *simLife) Hosts() []Host {
	var out []Host
	for _, h := range l.h.s.hosts {
		if h != l.h {
			out = append(out, h.self)
		}
	}
	return out
}

func (l *simLife) reach(ctx context.Context, host Host) (*simLife, error) {
	s := l.h.s
	if err := l.wait(ctx, s.delay(60*time.Millisecond)); err != nil {
		return nil, err
	}
	for i, h := range s.hosts {
		if h.self.Name == host.Name {
			to := s.current(i)
			if to.cutOff() != l.cutOff() || to.isDead() || s.chance(3) {
				return nil, errors.New("unreachable")
			}
			return to, nil
		}
	}
	return nil, errors.New("no such host")
}

func (l *simLife) Status(ctx context.Context, host Host, in *pb.StatusRequest) (*pb.StatusResponse, error) {
	to, err := l.reach(ctx, host)
	if err != nil {
		return nil, err
	}
	return RPC{to.service}.Status(ctx, in)
}

func (l *simLife) Store(ctx context.Context, host Host, a *pb.Answer) error {
	to, err := l.reach(ctx, host)
	if err != nil {
		return err
	}
	_, err = RPC{to.service}.Store(ctx, &pb.StoreRequest{Answer: a})
	return err
}

// run is the target: it executes at most once per call and answers, refuses
// before execution, or leaves the outcome unknown.
func (l *simLife) run(key, call string, executed *string) Runner {
	s := l.h.s
	return func(ctx context.Context, sink dispatch.Sink) (dispatch.Result, error) {
		if l.isDead() || s.chance(15) {
			return dispatch.Result{}, refusal.New(refusal.NoTarget, refusal.NotRun, "simulated")
		}
		if err := l.wait(ctx, s.delay(500*time.Millisecond)); err != nil {
			return dispatch.Result{}, refusal.New(refusal.TargetFailed, refusal.NotRun, "%v", err)
		}
		s.mu.Lock()
		s.runs[key] = append(s.runs[key], call)
		*executed = call
		s.mu.Unlock()
		if err := l.wait(ctx, s.delay(time.Second)); err != nil || s.chance(10) {
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
	fails    bool
}

func (k *simSink) Start(_ int, header map[string]string) error {
	k.replayed = header[HeaderReplayed] == "true"
	if k.fails {
		return errors.New("caller is gone")
	}
	return nil
}

func (k *simSink) Write(p []byte) error {
	k.body = append(k.body, p...)
	return nil
}

// outcome is one call as porcupine sees it.
type outcome struct{ executed, replayed string }

// call sends one request of the key through a host and checks what it returns.
func (s *sim) call(host int, key, body string, number int) error {
	l := s.current(host)
	id := fmt.Sprintf("%s-call-%d", key, number)
	executed := ""
	sink := &simSink{fails: s.chance(5)}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if s.chance(10) { // the caller leaves early
		leave := s.delay(2 * time.Second)
		stop := context.AfterFunc(ctx, func() {})
		defer stop()
		time.AfterFunc(leave, cancel)
	}
	start := time.Since(s.began)
	s.mu.Lock()
	s.bodyOf[id] = body
	if s.bodies[key] == nil {
		s.bodies[key] = map[string]bool{}
	}
	s.bodies[key][body] = true
	s.mu.Unlock()
	_, err := l.service.Do(ctx, Operation{Workspace: "w", Key: key, Method: "POST", Path: "/f", Body: []byte(body),
		Residency: s.residency(key), Deadline: time.Now().Add(10 * time.Second)}, sink, l.run(key, id, &executed))
	s.mu.Lock()
	defer s.mu.Unlock()
	out := outcome{executed: executed}
	if l.isDead() {
		err = errDead
	}
	if err == nil && sink.replayed {
		out.replayed = string(sink.body)
	}
	end := time.Since(s.began)
	s.history = append(s.history, porcupine.Operation{ClientId: number, Input: key, Output: out, Call: int64(start), Return: int64(end)})
	refused, isRefusal := errors.AsType[*refusal.Error](err)
	switch {
	case err == nil && !sink.replayed && string(sink.body) != id:
		s.broken = append(s.broken, fmt.Sprintf("call %s got answer %q", id, sink.body))
	case isRefusal && refused.Ran == refusal.NotRun && executed != "":
		s.broken = append(s.broken, fmt.Sprintf("call %s was refused with not_run (%v) but ran", id, refused))
	case isRefusal && refused.Code == refusal.OperationMismatch && len(s.bodies[key]) < 2:
		s.broken = append(s.broken, "mismatch of equal bodies")
	case err == nil && sink.replayed && s.bodyOf[string(sink.body)] != body:
		s.broken = append(s.broken, fmt.Sprintf("call %s with %q got the answer to another body", id, body))
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
		bodyOf: map[string]string{}, bodies: map[string]map[string]bool{}, began: time.Now()}
	s.log = &simLog{s: s, replicas: [2]*Machine{NewMachine(), NewMachine()}}
	for i := range simHosts {
		dc := []string{"a", "a", "b", "c"}[i]
		h := &simHost{s: s, self: Host{Name: "h" + strconv.Itoa(i), DataCentre: dc}, disk: s.chance(50)}
		h.residence = func(string) bool { return !(s.narrowed.Load() && dc == "b") }
		s.hosts = append(s.hosts, h)
	}
	for _, h := range s.hosts {
		h.start(nil)
	}
	return s
}

// play runs a window of calls and faults, then heals and sends each key again.
func (s *sim) play() {
	keys := []string{"key0", "key1", "key2"}[:1+s.pick(3)]
	var all sync.WaitGroup
	for i := range 4 + s.pick(8) {
		at, host, key, body := s.delay(simWindow), s.pick(simHosts), keys[s.pick(len(keys))], "body"
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
		at, host := s.delay(simWindow), s.pick(simHosts)
		all.Go(func() {
			time.Sleep(at)
			s.hosts[host].crash()
		})
	}
	if s.chance(40) {
		from, to, dc := s.delay(simWindow), s.delay(simWindow), []string{"a", "b", "c"}[s.pick(3)]
		all.Go(func() {
			time.Sleep(from)
			s.setIsolated(dc)
			time.Sleep(to)
			s.setIsolated("")
		})
	}
	all.Wait()
	if s.chance(30) {
		s.narrow()
	}
	time.Sleep(time.Minute) // virtual: every late command and settlement has arrived
	s.finalResends(keys)
	s.checkPlaces()
	for _, h := range s.hosts {
		h.life.stop()
	}
	s.late.Wait()
}

func (s *sim) setIsolated(dc string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isolated = dc
}

// narrow takes data centre b out of the workspace's residency.
func (s *sim) narrow() {
	s.narrowed.Store(true)
	for _, h := range s.hosts {
		h.life.service.Store.Enforce(time.Now())
	}
}

// finalResends checks that no key is stuck: without a crash or an unknown run,
// a resend gets an answer.
func (s *sim) finalResends(keys []string) {
	for _, key := range keys {
		var err error
		for try := range 60 {
			if err = s.call(try%2, key, "body", 1000+try); err == nil || s.stuck(err) {
				break
			}
			time.Sleep(time.Second)
		}
		if err != nil && s.crashes == 0 && !s.unknown[key] && !s.narrowed.Load() &&
			len(s.bodies[key]) < 2 && !errors.Is(err, dispatch.ErrResponseTruncated) {
			s.fail("key %s is stuck: %v", key, err)
		}
	}
}

func (*sim) stuck(err error) bool {
	refused, ok := errors.AsType[*refusal.Error](err)
	return ok && (refused.Code == refusal.OperationMismatch || refused.Ran != refusal.NotRun && refused.RetryAfter == 0)
}

func (s *sim) checkPlaces() {
	for _, h := range s.hosts {
		store := h.life.service.Store
		for _, id := range store.Attempts() {
			a, err := decodeAnswer(store.memory[id])
			if err != nil || !rules.Allows(a.GetResidency(), h.self.DataCentre) || s.narrowed.Load() && h.self.DataCentre == "b" {
				s.fail("answer %s rests on %s: %v", id, h.self.Name, err)
			}
		}
	}
}

func (s *sim) verify(t *testing.T) {
	for _, r := range s.log.replicas[0].records {
		if r.FinishedMs != 0 && len(r.Holders) == 0 && !s.narrowed.Load() {
			s.broken = append(s.broken, "a finished record names no holder of its answer")
		}
	}
	for key, runs := range s.runs {
		if len(runs) > 1 {
			s.broken = append(s.broken, fmt.Sprintf("key %s ran %d times: %v", key, len(runs), runs))
		}
	}
	if !porcupine.CheckOperations(atMostOnce, s.history) {
		s.broken = append(s.broken, "the history is not that of operations that run at most once")
	}
	for _, text := range s.broken {
		t.Errorf("seed %d: %s", s.seed, text)
	}
}

// atMostOnce is the sequential model of one key: the first execution sets the
// answer, and only that answer is replayed.
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
		out := output.(outcome)
		switch {
		case out.executed != "":
			return state == "", out.executed
		case out.replayed != "":
			return state == out.replayed, state
		}
		return true, state
	},
}

// Guards G9 and G10 over lost answers, duplicated and delayed proposals,
// crashes and partitions: at most one run for a key, the stored answer is that
// of the run, a refusal with not_run is true, no answer rests where residency
// forbids it, and no key stays stuck without a cause. More schedules:
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
					s.play()
					s.verify(t)
				})
				if t.Failed() {
					t.Fatalf("failed at seed %d", seed)
				}
			}
		})
	}
}
