package operations

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"geraniumturn.example/geraniumturn/internal/durable"
	pb "geraniumturn.example/geraniumturn/internal/operations/operationspb"
)

func testAnswer(attempt string) *pb.Answer {
	return &pb.Answer{Attempt: strings.Repeat(attempt, attemptLen), Workspace: "w", Status: 201,
		Header: map[string]string{"Content-Type": "text/plain"}, Body: []byte("filed"),
		ExpiresMs: time.Now().Add(time.Hour).UnixMilli()}
}

func allowAll(string) bool { return true }

func open(t *testing.T, dir string, allowed ResidencyCheck) *Store {
	t.Helper()
	s, err := OpenStore(dir, "gijon-a", allowed, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// Guards stored answers over a restart of the host: intact answers are read back,
// and damaged, incomplete or expired ones are not.
func TestAnswerSurvivesRestart(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "answers")
	s := open(t, dir, allowAll)
	intact, damaged := testAnswer("a"), testAnswer("b")
	for _, a := range []*pb.Answer{intact, damaged} {
		if err := s.Put(a, time.Now()); err != nil {
			t.Fatal(err)
		}
	}
	path := s.path(damaged.Attempt)
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	data[len(data)/2] ^= 1
	incomplete := filepath.Join(dir, strings.Repeat("c", attemptLen)+answerSuffix+durable.TempSuffix)
	if err := errors.Join(os.WriteFile(path, data, 0o600), os.WriteFile(incomplete, data[:10], 0o600)); err != nil {
		t.Fatal(err)
	}
	if s.Get(damaged.Attempt, time.Now()) != nil {
		t.Error("a damaged answer was read")
	}
	s = open(t, dir, allowAll)
	if got := s.Get(intact.Attempt, time.Now()); !proto.Equal(got, intact) {
		t.Errorf("answer after the restart: %v", got)
	}
	if got := s.Attempts(); len(got) != 1 {
		t.Errorf("stored attempts after the restart: %v", got)
	}
	if files, _ := os.ReadDir(dir); len(files) != 1 {
		t.Errorf("damaged and incomplete files were left: %v", files)
	}
	if s.Get(intact.Attempt, time.Now().Add(2*time.Hour)) != nil {
		t.Error("an expired answer was read")
	}
}

// Guards residency: an answer is neither stored nor, after a change of the rules, kept
// in a data centre that residency forbids.
func TestAnswerResidency(t *testing.T) {
	allowed := true
	dir := filepath.Join(t.TempDir(), "answers")
	s := open(t, dir, func(string) bool { return allowed })
	elsewhere := testAnswer("a")
	elsewhere.Residency = []string{"bilbao-a"}
	if err := s.Put(elsewhere, time.Now()); !errors.Is(err, ErrResidency) {
		t.Errorf("answer bound to another data centre: %v", err)
	}
	if err := s.Put(testAnswer("b"), time.Now()); err != nil {
		t.Fatal(err)
	}
	allowed = false
	if err := s.Put(testAnswer("c"), time.Now()); !errors.Is(err, ErrResidency) {
		t.Errorf("answer of a workspace that may not be stored here: %v", err)
	}
	if n := s.EnforceResidency(time.Now()); n != 1 {
		t.Errorf("%d answers removed after the change of the rules", n)
	}
	if files, _ := os.ReadDir(dir); len(files) != 0 {
		t.Errorf("files left: %v", files)
	}
}

// Guards the memory of a host without a disk: the oldest answers are evicted.
func TestStoreIsBounded(t *testing.T) {
	s := open(t, "", allowAll)
	s.limitBytes = 3 * MaxAnswerBytes
	for _, name := range []string{"a", "b", "c", "d"} {
		a := testAnswer(name)
		a.Body = make([]byte, MaxAnswerBytes)
		if err := s.Put(a, time.Now()); err != nil {
			t.Fatal(err)
		}
	}
	if got := s.Attempts(); len(got) != 2 || s.usedBytes > s.limitBytes {
		t.Errorf("store has %d answers, %d bytes", len(got), s.usedBytes)
	}
	a := testAnswer("e")
	a.Body = make([]byte, MaxAnswerBytes+1)
	if err := s.Put(a, time.Now()); err == nil {
		t.Error("an answer over the limit was stored")
	}
}

// FuzzAnswerFile guards against files that crash the host, and against a decoded
// answer that changes when it is encoded and decoded again.
func FuzzAnswerFile(f *testing.F) {
	data, err := encodeAnswer(testAnswer("a"))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add(data[:len(data)-1])
	f.Add([]byte(answerMagic))
	f.Fuzz(func(t *testing.T, data []byte) {
		a, err := decodeAnswer(data)
		if err != nil {
			return
		}
		encoded, err := encodeAnswer(a)
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := decodeAnswer(encoded)
		if err != nil || !proto.Equal(a, decoded) {
			t.Fatalf("%v is read back as %v: %v", a, decoded, err)
		}
	})
}

// Guards against an answer that counts as stored although a loss of power can still
// remove its name: the process that renamed it ended before the directory was synced.
func TestOpenStoreSyncsNames(t *testing.T) {
	dir := t.TempDir()
	s := open(t, dir, allowAll)
	killed := errors.New("killed during the sync")
	restore := durable.SetSync(func(f *os.File) error {
		if f.Name() == dir {
			return killed
		}
		return nil
	})
	err := s.Put(testAnswer("a"), time.Now())
	restore()
	if !errors.Is(err, killed) {
		t.Fatal(err)
	}
	synced := false
	defer durable.SetSync(func(f *os.File) error {
		synced = synced || f.Name() == dir
		return nil
	})()
	if s = open(t, dir, allowAll); !synced || s.Get(testAnswer("a").Attempt, time.Now()) == nil {
		t.Errorf("directory synced: %v, answer: %v", synced, s.Get(testAnswer("a").Attempt, time.Now()))
	}
}
