package operations

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	pb "geraniumturn.example/geraniumturn/internal/operations/operationspb"

	"geraniumturn.example/geraniumturn/internal/rules"
)

const (
	// maxMemoryBytes bounds the answers of a host without a disk.
	maxMemoryBytes = 32 << 20
	// maxDiskBytes bounds the answers of a host with a disk.
	maxDiskBytes = 2 << 30
	answerSuffix = ".answer"
	tempSuffix   = ".tmp"
)

// Allowed reports whether the data of a workspace may rest in this host's data
// centre under the rules in force.
type Allowed func(workspace string) bool

// Store keeps whole answers on this host: in synced files under a folder, or
// in memory when there is none. When it is full, the oldest answer is removed.
// Invariant: no answer rests here that its residency or the rules in force
// forbid; see Put and EnforceResidency.
type Store struct {
	dataCentre string
	allowed    Allowed
	dir        string
	limit      int64

	mu sync.Mutex
	// entries are in order of arrival.
	entries []entry
	held    map[string]bool
	used    int64
	memory  map[string][]byte
}

type entry struct {
	attempt, workspace string
	bytes, expiresMS   int64
}

// OpenStore returns a store for a host of the data centre. An empty folder name
// keeps answers in memory. Files that were not completed, are corrupt or have
// expired are removed.
func OpenStore(dir, dataCentre string, allowed Allowed, now time.Time) (*Store, error) {
	s := &Store{dataCentre: dataCentre, allowed: allowed, dir: dir, limit: maxMemoryBytes,
		held: map[string]bool{}, memory: map[string][]byte{}}
	if dir == "" {
		return s, nil
	}
	s.limit = maxDiskBytes
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, fmt.Errorf("operations: answer folder: %w", err)
	}
	if err := syncDir(filepath.Dir(dir)); err != nil {
		return nil, err
	}
	return s, s.load(now)
}

func (s *Store) load(now time.Time) error {
	files, err := os.ReadDir(s.dir)
	if err != nil {
		return fmt.Errorf("operations: answer folder: %w", err)
	}
	for _, f := range files {
		path := filepath.Join(s.dir, f.Name())
		data, err := os.ReadFile(path)
		if err != nil {
			return fmt.Errorf("operations: answer: %w", err)
		}
		a, err := decodeAnswer(data)
		if err != nil || expired(a, now) || f.Name() != a.GetAttempt()+answerSuffix {
			if err := os.Remove(path); err != nil {
				return fmt.Errorf("operations: answer: %w", err)
			}
			continue
		}
		s.add(a, int64(len(data)))
	}
	slices.SortStableFunc(s.entries, func(a, b entry) int { return int(a.expiresMS - b.expiresMS) })
	return nil
}

func (s *Store) add(a *pb.Answer, size int64) {
	s.entries = append(s.entries, entry{a.GetAttempt(), a.GetWorkspace(), size, a.GetExpiresMs()})
	s.held[a.GetAttempt()] = true
	s.used += size
}

// Put stores an answer; it is durable when Put returns and there is a disk. It
// refuses with ErrResidency what may not rest here.
func (s *Store) Put(a *pb.Answer, now time.Time) error {
	if err := validateAnswer(a); err != nil {
		return err
	}
	data, err := encodeAnswer(a)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.held[a.GetAttempt()] {
		return nil
	}
	s.prune(now, int64(len(data)))
	// The check is the last step before the write, so that no answer rests
	// here that was allowed only when the request came in.
	if !rules.Allows(a.GetResidency(), s.dataCentre) || !s.allowed(a.GetWorkspace()) {
		return fmt.Errorf("%w: %s for workspace %s", ErrResidency, s.dataCentre, a.GetWorkspace())
	}
	if err := s.write(a.GetAttempt(), data); err != nil {
		return err
	}
	s.add(a, int64(len(data)))
	return nil
}

func (s *Store) write(attempt string, data []byte) error {
	if s.dir == "" {
		s.memory[attempt] = data
		return nil
	}
	path := s.path(attempt)
	if err := writeSynced(path+tempSuffix, data); err != nil {
		return err
	}
	if err := os.Rename(path+tempSuffix, path); err != nil {
		return fmt.Errorf("operations: answer: %w", err)
	}
	return syncDir(s.dir)
}

func (s *Store) path(attempt string) string { return filepath.Join(s.dir, attempt+answerSuffix) }

func writeSynced(path string, data []byte) error {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("operations: answer: %w", err)
	}
	_, err = f.Write(data)
	err = errors.Join(err, f.Sync(), f.Close())
	if err != nil {
		return fmt.Errorf("operations: write answer: %w", err)
	}
	return nil
}

func syncDir(path string) error {
	d, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("operations: answer folder: %w", err)
	}
	if err := errors.Join(d.Sync(), d.Close()); err != nil {
		return fmt.Errorf("operations: sync answer folder: %w", err)
	}
	return nil
}

// Get returns the answer of an attempt, or nil when this host does not hold it
// or holds it damaged.
func (s *Store) Get(attempt string, now time.Time) *pb.Answer {
	if !validAttempt(attempt) {
		return nil
	}
	s.mu.Lock()
	data, ok := s.memory[attempt]
	s.mu.Unlock()
	if !ok && s.dir != "" {
		data, _ = os.ReadFile(s.path(attempt))
	}
	a, err := decodeAnswer(data)
	if err != nil || a.GetAttempt() != attempt || expired(a, now) || !rules.Allows(a.GetResidency(), s.dataCentre) {
		return nil
	}
	return proto.CloneOf(a)
}

// prune removes expired answers, and the oldest ones until size more bytes fit.
func (s *Store) prune(now time.Time, size int64) {
	if len(s.entries) > 0 && s.entries[0].expiresMS <= now.UnixMilli() {
		s.drop(func(e entry) bool { return e.expiresMS <= now.UnixMilli() })
	}
	for len(s.entries) > 0 && s.used+size > s.limit {
		oldest := s.entries[0].attempt
		s.drop(func(e entry) bool { return e.attempt == oldest })
	}
}

// EnforceResidency removes the answers that the rules in force no longer allow here. The
// caller runs it after each change of the rules. It returns how many were removed.
func (s *Store) EnforceResidency(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.prune(now, 0)
	return s.drop(func(e entry) bool { return !s.allowed(e.workspace) })
}

func (s *Store) drop(which func(entry) bool) int {
	before := len(s.entries)
	s.entries = slices.DeleteFunc(s.entries, func(e entry) bool {
		if !which(e) {
			return false
		}
		delete(s.memory, e.attempt)
		if s.dir != "" {
			if err := os.Remove(s.path(e.attempt)); err != nil && !errors.Is(err, os.ErrNotExist) {
				return false // kept in the list, so that the next call tries again
			}
		}
		delete(s.held, e.attempt)
		s.used -= e.bytes
		return true
	})
	return before - len(s.entries)
}

// Attempts lists the attempts whose answers rest here.
func (s *Store) Attempts() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]string, len(s.entries))
	for i, e := range s.entries {
		out[i] = strings.Clone(e.attempt)
	}
	return out
}
