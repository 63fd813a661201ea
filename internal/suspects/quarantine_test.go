package suspects

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const (
	common   = uint64(1) // in most requests
	subject  = uint64(2) // in few requests
	crashing = uint64(3)
)

func crash(n int, at time.Duration, keys ...uint64) Crash {
	return Crash{Target: fmt.Sprint("t", n), Incarnation: 1, At: at, Keys: keys}
}

// Guards against a key that goes on crashing targets, and against the quarantine of keys
// that are often present but also complete.
func TestKeyThatCrashesTargetsIsQuarantined(t *testing.T) {
	q := NewQuarantine()
	now := time.Duration(0)
	for n := range quarantineCrashes {
		now += time.Second
		if _, refused := q.Refused(now, []uint64{common, crashing}, false); refused {
			t.Fatalf("refused after %d crashes", n)
		}
		q.RecordCrash(now, crash(n, now, common, subject, crashing))
		q.RecordCrash(now, crash(n, now, common, crashing)) // another host saw the same crash
		now += 100 * time.Millisecond
		q.RecordServed(now, []uint64{common, subject})
	}
	for key, want := range map[uint64]bool{common: false, subject: false, crashing: true} {
		if _, refused := q.Refused(now, []uint64{key}, false); refused != want {
			t.Errorf("key %d refused: %v, want %v", key, refused, want)
		}
	}
	if _, refused := q.Refused(now+quarantineDuration, []uint64{crashing}, false); refused {
		t.Error("the quarantine does not end")
	}
}

// Guards against the quarantine of a sound key that was present in every crash and has
// not completed since: the crashing key explains those crashes.
func TestExplainedKeyIsNotQuarantined(t *testing.T) {
	q := NewQuarantine()
	now := time.Second
	q.RecordServed(now, []uint64{subject})
	for n := range quarantineCrashes {
		now += time.Second
		q.RecordCrash(now, crash(n, now, subject, crashing))
	}
	if _, refused := q.Refused(now, []uint64{subject}, false); refused {
		t.Error("a key that completed before is quarantined beside one that never did")
	}
	if _, refused := q.Refused(now, []uint64{crashing}, false); !refused {
		t.Error("the crashing key is not quarantined")
	}
}

// Guards against retries that crash further targets, and against refusals of retries of
// requests whose keys complete.
func TestRetryIsRefusedEarlier(t *testing.T) {
	q := NewQuarantine()
	for n := range retryCrashes {
		at := time.Duration(n) * time.Second / 2
		q.RecordCrash(at, crash(n, at, subject, crashing))
	}
	q.RecordServed(2*time.Second, []uint64{subject})
	if _, refused := q.Refused(2*time.Second, []uint64{crashing}, true); !refused {
		t.Error("a retry of a request that was present in two crashes is allowed")
	}
	if _, refused := q.Refused(2*time.Second, []uint64{crashing}, false); refused {
		t.Error("a first attempt is refused")
	}
	if _, refused := q.Refused(2*time.Second, []uint64{subject}, true); refused {
		t.Error("a retry with a key that has completed since is refused")
	}
}

// Guards against hosts that each see too few crashes to act, and against completions and
// quarantines that do not reach the other hosts.
func TestHostsShareCrashes(t *testing.T) {
	hosts := []*Quarantine{NewQuarantine(), NewQuarantine(), NewQuarantine()}
	now := time.Second
	exchange := func() {
		now += 100 * time.Millisecond
		for _, from := range hosts {
			for _, to := range hosts {
				to.Merge(now, from.Recent(now))
			}
		}
	}
	for n := range quarantineCrashes {
		hosts[n].RecordCrash(now, crash(n, now, common, crashing))
		exchange()
		hosts[0].RecordServed(now, []uint64{common})
		exchange()
		now += crashInterval
	}
	for i, h := range hosts {
		if _, refused := h.Refused(now, []uint64{crashing}, false); !refused {
			t.Errorf("host %d sends the crashing key", i)
		}
		if _, refused := h.Refused(now, []uint64{common}, true); refused {
			t.Errorf("host %d refuses a key that completes", i)
		}
	}
	late := NewQuarantine()
	now += 5 * time.Second
	late.Merge(now, hosts[1].Recent(now))
	if _, refused := late.Refused(now, []uint64{crashing}, false); !refused {
		t.Error("a host that starts later sends the crashing key")
	}
}

// Guards against a sound key that stays quarantined after crashes in a row that no
// completion separated, on any host.
func TestCompletionEndsQuarantine(t *testing.T) {
	a, b := NewQuarantine(), NewQuarantine()
	now := time.Second
	for n := range quarantineCrashes {
		now += time.Second
		a.RecordCrash(now, crash(n, now, common, crashing))
	}
	b.Merge(now, a.Recent(now))
	now += 300 * time.Millisecond
	a.RecordServed(now, []uint64{common})
	for range 2 { // b tells a of its quarantine, then a tells b of the completion
		a.Merge(now, b.Recent(now))
		b.Merge(now, a.Recent(now))
	}
	for i, q := range []*Quarantine{a, b} {
		if _, refused := q.Refused(now, []uint64{common}, false); refused {
			t.Errorf("host %d refuses a key that has completed since", i)
		}
		if _, refused := q.Refused(now, []uint64{crashing}, false); !refused {
			t.Errorf("host %d sends the crashing key", i)
		}
	}
}

// Guards against sound keys that are quarantined, and crashing ones that are not, in random
// mixes: each request has a common, a subject and sometimes the crashing key. A request
// completes unless a crash follows while it is among the last eight.
func TestRandomCrashesQuarantineOnlyTheCause(t *testing.T) {
	const seeds, requests = 300, 3000
	soundRefused := 0
	for seed := range uint64(seeds) {
		r := rand.New(rand.NewPCG(seed, 1))
		q := NewQuarantine()
		now, crashes := time.Duration(0), 0
		apart, lastApart := 0, -crashInterval // crashes that do not count as one
		subjects, share := 20+r.IntN(150), 0.01+0.1*r.Float64()
		var young []uint64
		for i := range requests {
			now += time.Duration(r.IntN(60)) * time.Millisecond
			keys := []uint64{common, uint64(100 + r.IntN(subjects))}
			if i >= 100 && r.Float64() < share {
				keys = append(keys, crashing)
			}
			if _, refused := q.Refused(now, keys, false); refused {
				if !slices.Contains(keys, crashing) {
					soundRefused++
				}
				continue
			}
			young = append(young, keys...)
			if slices.Contains(keys, crashing) {
				q.RecordCrash(now, crash(crashes, now, young...))
				crashes++
				if now-lastApart >= crashInterval {
					apart, lastApart = apart+1, now
				}
				young = nil // all of them broke off
			} else if len(young) > 16 {
				q.RecordServed(now, young[:2])
				young = young[2:]
			}
		}
		if apart != quarantineCrashes {
			t.Fatalf("seed %d: quarantined after %d crashes apart from each other (%d in all)", seed, apart, crashes)
		}
	}
	if share := float64(soundRefused) / (seeds * requests); share > 0.005 {
		t.Errorf("%.4f of the requests without the crashing key are refused", share)
	}
	t.Logf("%d of %d requests without the crashing key refused", soundRefused, seeds*requests)
}

// Guards against memory that grows with every request that completes.
func TestCompletionsAreBounded(t *testing.T) {
	q := NewQuarantine()
	for k := range uint64(3 * maxServedKeys) {
		q.RecordServed(time.Second, []uint64{k})
	}
	if n := len(q.served) + len(q.olderServed); n > 2*maxServedKeys {
		t.Errorf("%d completions are kept", n)
	}
	if _, ok := q.lastServed(3*maxServedKeys - 1); !ok {
		t.Error("the newest completion is forgotten")
	}
}

// Guards against the refusal of a whole service after a power failure: its targets crash
// at the same moment, each with the same segment, and none is left to complete a request
// with it.
func TestSimultaneousCrashesAreOneEvent(t *testing.T) {
	q := NewQuarantine()
	for n := range 10 {
		at := time.Second + time.Duration(n)*9*time.Millisecond
		q.RecordCrash(at, crash(n, at, common))
	}
	for _, retry := range []bool{false, true} {
		if _, refused := q.Refused(2*time.Second, []uint64{common}, retry); refused {
			t.Errorf("refused (retry: %v) after crashes of one moment", retry)
		}
	}
}
