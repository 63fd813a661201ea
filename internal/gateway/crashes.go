package gateway

import (
	"context"
	"errors"
	"fmt"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"geraniumturn.example/geraniumturn/internal/clock"
	"geraniumturn.example/geraniumturn/internal/fleetsync/syncpb"
	"geraniumturn.example/geraniumturn/internal/placement"
	"geraniumturn.example/geraniumturn/internal/refusal"
	"geraniumturn.example/geraniumturn/internal/suspects"
)

const (
	// suspectResponseTime is how long after its first byte a request is suspected of the
	// crash of its target. A request that crashes targets does so as it begins to run.
	suspectResponseTime = 400 * time.Millisecond
	// crashCheckDelay is the time from a broken response to the check whether the target
	// still accepts connections. The other responses of a crashed target break meanwhile.
	crashCheckDelay   = 50 * time.Millisecond
	crashCheckTimeout = 300 * time.Millisecond
)

// suspectKeys returns the keys by which a request can be quarantined: one for each
// prompt segment that it may share with others, and one for its whole content.
func suspectKeys(x *requestState) []uint64 {
	segments := x.call.Segments[:max(0, len(x.call.Segments)-1)]
	keys := make([]uint64, 0, len(segments)+1)
	for _, s := range segments {
		keys = append(keys, xxhash.Sum64String("segment\x00"+s.ID))
	}
	h := xxhash.New()
	_, _ = h.WriteString("request\x00" + x.workspaceName() + "\x00" + x.request.Method + "\x00" + x.request.RequestURI + "\x00") // never fails
	_, _ = h.Write(x.body)
	return append(keys, h.Sum64())
}

// refuseSuspect returns a refusal if a request may crash its next target. g.mu must be
// held.
func (g *Gateway) refuseSuspect(now time.Duration, x *requestState) error {
	until, refused := g.quarantine.Refused(now, x.suspectKeys, x.sends > 0)
	if !refused {
		return nil
	}
	return refusal.New(refusal.CrashesTargets, refusal.NotRun, "requests with the same content or prompt segment crashed targets").
		WithRetry(max(minRetryAfter, until-now))
}

// checkQuarantine refuses a quarantined request before it takes tokens of a rate.
func (g *Gateway) checkQuarantine(x *requestState) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.refuseSuspect(sinceBoot(), x)
}

// crashCheck collects the requests whose response broke at a target until it is known
// whether the target has crashed.
type crashCheck struct {
	address   string
	startedAt time.Duration
	keys      []uint64
}

// recordFailure records the error of an attempt at a local target if its response broke
// off, other than by the caller.
func (g *Gateway) recordFailure(ctx context.Context, x *requestState, s *sendAttempt, err error) {
	if s.attempt != nil && errors.Is(err, syscall.ECONNREFUSED) {
		g.recordRefused(s)
	}
	failed, ok := errors.AsType[*attemptError](err)
	broke := ok && failed.ran == refusal.Unknown || errors.Is(err, errTruncated)
	if s.attempt != nil && broke && ctx.Err() == nil {
		g.recordBreak(x, s)
	}
}

// recordRefused records that a local target refused a connection. While no target is
// reached, that says nothing of a single one.
func (g *Gateway) recordRefused(s *sendAttempt) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.path.Detached() {
		g.placer.RecordRefused(sinceBoot(), s.attempt)
	}
}

// recordBreak records that the response of a request broke off at a local target.
func (g *Gateway) recordBreak(x *requestState, s *sendAttempt) {
	now := sinceBoot()
	if s.firstByteSeen && now-s.firstByteAt > suspectResponseTime {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	check := g.crashChecks[s.target]
	if check == nil {
		check = &crashCheck{address: s.address, startedAt: now}
		g.crashChecks[s.target] = check
		go func() {
			if !g.guarded("crash check", func() { g.checkCrash(s.target, s.address, check) }) {
				g.mu.Lock()
				defer g.mu.Unlock()
				delete(g.crashChecks, s.target)
			}
		}()
	}
	check.keys = append(check.keys, x.suspectKeys...)
}

// checkCrash finds out whether the target of a broken response still runs. A crashed
// process refuses connections, while one behind a broken link does not answer.
func (g *Gateway) checkCrash(target, address string, check *crashCheck) {
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckDelay+crashCheckTimeout)
	defer cancel()
	clock.Sleep(ctx, crashCheckDelay)
	err := g.localPool.Connect(ctx, address)
	refused := errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
	crashed := refused && g.targetsAnswer(address)
	record, _ := g.Table.Find(target, g.Views.Current().hasService)
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.crashChecks, target)
	if !crashed {
		if refused {
			g.Log.WithFields(logrus.Fields{"target": target, "suspects": len(check.keys)}).Info("refused connection not taken for a crash")
		}
		return
	}
	g.Log.WithFields(logrus.Fields{"target": target, "suspects": len(check.keys)}).Info("target crashed")
	now := sinceBoot()
	g.placer.RecordEnded(placement.EndedTarget{Target: target, StartMillis: record.StartMillis, At: now})
	g.logQuarantined(g.quarantine.RecordCrash(now, suspects.Crash{Target: target, Incarnation: uint64(record.StartMillis), At: check.startedAt, Keys: check.keys}), "")
}

// logQuarantined logs keys that were quarantined. host is the host that reported them.
func (g *Gateway) logQuarantined(keys []uint64, host string) {
	for _, k := range keys {
		g.requestMetrics.quarantined.Inc(1)
		g.Log.WithFields(logrus.Fields{"key": fmt.Sprintf("%016x", k), "reported_by": host}).Warn("requests quarantined")
	}
}

// addSuspects adds what this host has learned of crashes to a usage report. g.mu must be
// held.
func (g *Gateway) addSuspects(now time.Duration, out *syncpb.UsageReport) {
	u := g.quarantine.Recent(now)
	for _, c := range u.Crashes {
		out.Crashes = append(out.Crashes, &syncpb.Crash{Target: c.Target, Incarnation: c.Incarnation, AgeMs: (now - c.At).Milliseconds(), Keys: c.Keys})
	}
	for _, s := range u.Served {
		out.Served = append(out.Served, &syncpb.KeyAge{Key: s.Key, Ms: (now - s.At).Milliseconds()})
	}
	for _, k := range u.Quarantined {
		out.Quarantined = append(out.Quarantined, &syncpb.KeyAge{Key: k.Key, Ms: (k.At - now).Milliseconds()})
	}
}

// mergeSuspects applies what another host has learned of crashes. g.mu must be held.
func (g *Gateway) mergeSuspects(now time.Duration, in *syncpb.UsageReport) {
	var u suspects.Update
	for _, c := range in.GetCrashes() {
		g.placer.RecordEnded(placement.EndedTarget{Target: c.GetTarget(), StartMillis: int64(c.GetIncarnation()), At: now - clock.Millis(float64(c.GetAgeMs()))})
		u.Crashes = append(u.Crashes, suspects.Crash{Target: c.GetTarget(), Incarnation: c.GetIncarnation(), At: now - clock.Millis(float64(c.GetAgeMs())), Keys: c.GetKeys()})
	}
	for _, s := range in.GetServed() {
		u.Served = append(u.Served, suspects.KeyTime{Key: s.GetKey(), At: now - clock.Millis(float64(s.GetMs()))})
	}
	for _, k := range in.GetQuarantined() {
		u.Quarantined = append(u.Quarantined, suspects.KeyTime{Key: k.GetKey(), At: now + clock.Millis(float64(k.GetMs()))})
	}
	g.logQuarantined(g.quarantine.Merge(now, u), in.GetHost())
}
