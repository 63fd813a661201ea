package doctransfer

import (
	"bytes"
	"errors"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/klauspost/compress/zstd"
	"pgregory.net/rapid"
)

var (
	self = Host{Address: "self", DataCentre: "dc", Region: "r"}
	// near is the first source of self, far the second.
	near = Candidate{Address: "near", DataCentre: "dc", Region: "r", Control: true, Version: 9}
	far  = Candidate{Address: "far", DataCentre: "dc2", Region: "r", Control: true, Version: 9}
)

// randomContent cannot be compressed.
func randomContent(n int) []byte {
	out := make([]byte, n)
	_, _ = rand.NewChaCha8([32]byte{7}).Read(out) // never fails
	return out
}

// step makes the next call and returns its source and the transfer, if it is complete. A
// source that is not in the map does not respond.
func step(t interface{ Fatal(...any) }, f *Fetcher, now *time.Duration, sources map[string]*Source, change func(*Response)) (string, *Transfer, error) {
	for range 100 {
		call, wait := f.Next(*now, []Candidate{far, near})
		if call == nil {
			*now += wait
			continue
		}
		var r Response
		err := errors.New("no response")
		if s := sources[call.Address]; s != nil {
			r, err = s.Fetch(*now, call.Request), nil
			if change != nil {
				change(&r)
			}
			*now += time.Millisecond
		} else {
			*now += call.Timeout
		}
		transfer, err := f.Result(*now, call, []Candidate{far, near}, r, err)
		return call.Address, transfer, err
	}
	t.Fatal("no call")
	return "", nil, nil
}

// Guards against a transfer that begins again when its source dies, and against one that
// joins the bytes of two forms.
func TestGoesOnAtTheOffset(t *testing.T) {
	content := randomContent(200 << 10)
	otherBuild := func(base, content []byte) ([]byte, error) {
		w, err := zstd.NewWriter(nil, zstd.WithEncoderCRC(false))
		if err != nil {
			return nil, err
		}
		return w.EncodeAll(content, nil), w.Close()
	}
	for name, encodeFar := range map[string]func(base, content []byte) ([]byte, error){"same build": encode, "other build": otherBuild} {
		now := time.Second
		a, b := NewSource(1, 1<<20), NewSource(1, 1<<20)
		b.encode = encodeFar
		a.Add(9, content)
		f := NewFetcher(self, NewSource(1, 1<<20))
		f.Confirm(Target{9, b.Add(9, content), len(content)})
		var asked []string
		var got *Transfer
		for got == nil {
			sources := map[string]*Source{"near": a, "far": b}
			if len(asked) >= 2 {
				delete(sources, "near")
			}
			source, transfer, err := step(t, f, &now, sources, nil)
			if err != nil {
				t.Fatal(err)
			}
			asked, got = append(asked, source), transfer
		}
		again := got.Bytes - len(content)
		if !bytes.Equal(got.Content, content) || got.Resumed != 1 || asked[0] != "near" || got.From != "far" || name == "same build" && again > 1<<10 {
			t.Errorf("%s: asked %v, %d bytes more than the content, resumed %d times", name, asked, again, got.Resumed)
		}
		if now > 3*time.Second {
			t.Errorf("%s: took %s", name, now-time.Second)
		}
	}
}

// Guards against the use of a content that no control host has confirmed.
func TestWrongContentIsNotUsed(t *testing.T) {
	content := randomContent(20 << 10)
	wrong := slices.Clone(content)
	wrong[5]++
	forged, err := encode(nil, wrong)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Second
	a := NewSource(1, 1<<20)
	store := NewSource(1, 1<<20)
	f := NewFetcher(self, store)
	f.Confirm(Target{9, a.Add(9, content), len(content)})
	sources := map[string]*Source{"near": a, "far": a}
	source, transfer, err := step(t, f, &now, sources, func(r *Response) {
		r.Part, r.Total, r.Encoding = forged, len(forged), 1
	})
	if source != "near" || transfer != nil || !errors.Is(err, ErrCorrupt) {
		t.Fatalf("from %s: %v, %v", source, transfer, err)
	}
	for transfer == nil {
		if source, transfer, err = step(t, f, &now, sources, nil); err != nil || source != "far" {
			t.Fatalf("from %s: %v", source, err)
		}
	}
	if !bytes.Equal(store.Content(DigestOf(content)), content) || store.Content(DigestOf(wrong)) != nil {
		t.Error("the store has another content")
	}
}

// Guards against odd responses of another build that end the process or bring a content that
// was not confirmed.
func TestOddResponses(t *testing.T) {
	content := randomContent(1 << 10)
	rapid.Check(t, func(t *rapid.T) {
		now := time.Second
		a, store := NewSource(1, 1<<20), NewSource(1, 1<<20)
		f := NewFetcher(self, store)
		f.Confirm(Target{9, a.Add(9, content), len(content)})
		for range rapid.IntRange(1, 20).Draw(t, "calls") {
			_, transfer, _ := step(t, f, &now, map[string]*Source{"near": a, "far": a}, func(r *Response) {
				number := rapid.OneOf(rapid.IntRange(-2, 2), rapid.IntRange(1000, 1100), rapid.Just(1<<40))
				if rapid.Bool().Draw(t, "odd") {
					*r = Response{Found: rapid.Bool().Draw(t, "found"), RetryAfter: time.Duration(number.Draw(t, "retry")), Total: number.Draw(t, "total"), Offset: number.Draw(t, "offset"),
						Encoding: rapid.Uint64Range(0, 1).Draw(t, "encoding"), Part: r.Part[:rapid.IntRange(0, len(r.Part)).Draw(t, "part")], Holders: []string{"x"}}
				}
			})
			if transfer != nil {
				if !bytes.Equal(transfer.Content, content) {
					t.Fatal("another content")
				}
				return
			}
		}
	})
}

// Answers: many hosts of a data centre ask a source with a slow link at one moment.
func TestBusySourceNamesHolders(t *testing.T) {
	content := randomContent(40 << 10)
	s := NewSource(2, 1<<20)
	d := s.Add(1, content)
	ask := func(now time.Duration, caller string) Response {
		return s.Fetch(now, Request{Caller: caller, Wanted: d, Limit: MaxPartBytes})
	}
	now := time.Second
	for _, caller := range []string{"a", "b"} {
		if r := ask(now, caller); len(r.Part) != r.Total || r.Total == 0 {
			t.Fatalf("%s got %d of %d bytes", caller, len(r.Part), r.Total)
		}
	}
	r := ask(now, "c")
	if len(r.Part) > 0 || r.RetryAfter <= 0 || r.RetryAfter > maxBusyTime {
		t.Fatalf("third caller: %+v", r)
	}
	now += 100 * time.Millisecond // 40 KiB have left over a link of 7 Mbit/s
	for _, caller := range []string{"c", "d"} {
		if r := ask(now, caller); len(r.Part) == 0 {
			t.Fatalf("%s is refused after the first transfers: %+v", caller, r)
		}
	}
	if r := ask(now, "e"); len(r.Part) > 0 || !slices.Contains(r.Holders, "a") || !slices.Contains(r.Holders, "b") {
		t.Errorf("busy source names %v", r.Holders)
	}
	if r := s.Fetch(now, Request{Caller: "f", Wanted: DigestOf([]byte("x"))}); r.Found || r.RetryAfter > 0 {
		t.Errorf("unknown content: %+v", r)
	}
}

// Guards against a form that cannot be decoded within the memory that its length allows.
func TestFormsOfAllSizes(t *testing.T) {
	random := randomContent(MaxContentBytes)
	sizes := []int{1, 7, 1000, 70_000, 1<<20 + 1, 4 << 20, MaxContentBytes}
	for _, n := range sizes {
		for _, content := range [][]byte{random[:n], bytes.Repeat([]byte("x"), n)} {
			for _, base := range append(sizes, 0) {
				var baseData []byte
				if base > 0 {
					baseData = random[len(random)-base:]
				}
				encoded, err := encode(baseData, content)
				if err != nil {
					t.Fatalf("%d bytes, base of %d: %v", n, base, err)
				}
				if got, err := decode(baseData, encoded, n, DigestOf(content)); err != nil || !bytes.Equal(got, content) || len(encoded) > n+formReserveBytes {
					t.Errorf("%d bytes, base of %d: %d bytes encoded, %v", n, base, len(encoded), err)
				}
			}
		}
	}
}

// BenchmarkForms measures what a form of a document of 1,400 routes costs.
func BenchmarkForms(b *testing.B) {
	f := newFleet(false)
	old := f.content
	f.change()
	for name, base := range map[string][]byte{"whole": nil, "delta": old} {
		encoded, _ := encode(base, f.content)
		b.Run("encode "+name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				encoded, _ = encode(base, f.content)
			}
			b.ReportMetric(float64(len(encoded)), "form-bytes")
		})
		b.Run("decode "+name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := decode(base, encoded, len(f.content), DigestOf(f.content)); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// Guards against hosts that wait for each other, and never ask again the source that failed
// once or that is far away.
func TestHostsThatWaitForEachOther(t *testing.T) {
	content := randomContent(20 << 10)
	for name, source := range map[string]Candidate{"control host failed once": near, "other region": {Address: "far", DataCentre: "dc3", Region: "r2", Control: true, Version: 9}} {
		a := NewSource(16, 1<<20)
		target := Target{9, a.Add(9, content), len(content)}
		candidates := []Candidate{source}
		for i := range 24 {
			candidates = append(candidates, Candidate{Address: string(rune('a' + i)), DataCentre: "dc", Region: "r"})
		}
		waits := NewSource(1, 1<<20)
		waits.await(target.Digest)
		f := NewFetcher(Host{Address: "self", DataCentre: "dc", Region: "r"}, NewSource(1, 1<<20))
		f.Confirm(target)
		now, failures := time.Second, 0
		var got *Transfer
		for got == nil && now < 6*time.Second {
			call, wait := f.Next(now, candidates)
			if call == nil {
				now += wait
				continue
			}
			var r Response
			var callErr, err error
			switch {
			case call.Address != source.Address:
				r = waits.Fetch(now, call.Request)
				now += time.Millisecond
			case name != "other region" && failures == 0:
				failures++
				callErr = errors.New("no response")
				now += call.Timeout
			default:
				r = a.Fetch(now, call.Request)
				now += 20 * time.Millisecond
			}
			if got, err = f.Result(now, call, candidates, r, callErr); err != nil {
				t.Fatal(err)
			}
		}
		if got == nil || now > 4*time.Second {
			t.Errorf("%s: arrived: %v, after %s", name, got != nil, now-time.Second)
		}
	}
}

// Guards against a version that is confirmed with the digest of a later one, and against a
// part at another offset that is asked for without end.
func TestDigestAndOffsetOfTheVersion(t *testing.T) {
	a := NewSource(1, 1<<20)
	five, six := randomContent(1000), randomContent(2000)
	d := a.Add(5, five)
	a.Add(6, six)
	if a.Add(5, five) != d || a.Add(4, six) != DigestOf(six) {
		t.Error("digest of another version")
	}
	now := time.Second
	f := NewFetcher(self, NewSource(1, 1<<20))
	f.Confirm(Target{6, DigestOf(six), len(six)})
	for range 2 {
		if _, _, err := step(t, f, &now, map[string]*Source{"near": a, "far": a}, func(r *Response) { r.Offset = 7; r.Part = r.Part[:9] }); !errors.Is(err, ErrCorrupt) {
			t.Errorf("part at another offset: %v", err)
		}
	}
	if call, wait := f.Next(now, []Candidate{near, far}); call != nil || wait == 0 {
		t.Errorf("asked again at once: %v", call)
	}
}
