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

	"geraniumturn.example/geraniumturn/internal/durable"
	pb "geraniumturn.example/geraniumturn/internal/operations/operationspb"

	"geraniumturn.example/geraniumturn/internal/rules"
)

const (
	// maxMemoryBytes is the maximum size of all answers on a host without a disk.
	maxMemoryBytes = 32 << 20
	// maxDiskBytes is the maximum size of all answers on a host with a disk.
	maxDiskBytes = 2 << 30
	answerSuffix = ".answer"
)

// ResidencyCheck reports whether the rules in force allow data of a workspace to be
// stored in this host's data centre.
type ResidencyCheck func(workspace string) bool

// Store stores answers on this host, in synced files in a directory or, without one,
// in memory. When it is full, the oldest answers are evicted. Invariant: it contains
// no answer that its residency or the rules in force forbid here; see Put and
// EnforceResidency.
type Store struct {
	dataCentre string
	allowed    ResidencyCheck
	dir        string
	limitBytes int64

	mu sync.Mutex
	// entries are in order of arrival; after a restart, in order of expiry.
	entries []entry
	// stored has the attempts of the entries.
	stored    map[string]bool
	usedBytes int64
	// memory has the encoded answers of a host without a disk, by attempt.
	memory map[string][]byte
}

type entry struct {
	attempt, workspace   string
	sizeBytes, expiresMS int64
}

// OpenStore returns a store for a host of the data centre. Without a directory name
// it stores answers in memory. Files that are incomplete, corrupt or expired are
// removed.
func OpenStore(dir, dataCentre string, allowed ResidencyCheck, now time.Time) (*Store, error) {
	s := &Store{dataCentre: dataCentre, allowed: allowed, dir: dir, limitBytes: maxMemoryBytes,
		stored: map[string]bool{}, memory: map[string][]byte{}}
	if dir == "" {
		return s, nil
	}
	s.limitBytes = maxDiskBytes
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, fmt.Errorf("operations: answer directory: %w", err)
	}
	if err := durable.SyncDir(filepath.Dir(dir)); err != nil {
		return nil, fmt.Errorf("operations: answer directory: %w", err)
	}
	return s, s.load(now)
}

func (s *Store) load(now time.Time) error {
	files, err := os.ReadDir(s.dir)
	if err != nil {
		return fmt.Errorf("operations: answer directory: %w", err)
	}
	for _, f := range files {
		path := filepath.Join(s.dir, f.Name())
		data, err := os.ReadFile(path)
		if err != nil {
			return fmt.Errorf("operations: answer file: %w", err)
		}
		a, err := decodeAnswer(data)
		if err != nil || expired(a, now) || f.Name() != a.GetAttempt()+answerSuffix {
			if err := os.Remove(path); err != nil {
				return fmt.Errorf("operations: answer file: %w", err)
			}
			continue
		}
		s.add(a, int64(len(data)))
	}
	slices.SortStableFunc(s.entries, func(a, b entry) int { return int(a.expiresMS - b.expiresMS) })
	// The former process may have ended between a rename and the sync of the directory.
	if err := durable.SyncDir(s.dir); err != nil {
		return fmt.Errorf("operations: answer directory: %w", err)
	}
	return nil
}

func (s *Store) add(a *pb.Answer, size int64) {
	s.entries = append(s.entries, entry{a.GetAttempt(), a.GetWorkspace(), size, a.GetExpiresMs()})
	s.stored[a.GetAttempt()] = true
	s.usedBytes += size
}

// Put stores an answer. On a host with a disk it is durable when Put returns. Put
// returns ErrResidency if the answer may not be stored here.
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
	if s.stored[a.GetAttempt()] {
		return nil
	}
	s.prune(now, int64(len(data)))
	// Residency is checked directly before the write, because the rules may have
	// changed since the request arrived.
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
	if err := durable.ReplaceFile(s.path(attempt), data); err != nil {
		return fmt.Errorf("operations: write answer: %w", err)
	}
	return nil
}

func (s *Store) path(attempt string) string { return filepath.Join(s.dir, attempt+answerSuffix) }

// Get returns the answer of an attempt, or nil if this host has none that is intact,
// unexpired and within its residency.
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

// prune removes expired answers, and then the oldest ones until addedBytes more bytes
// fit.
func (s *Store) prune(now time.Time, addedBytes int64) {
	if len(s.entries) > 0 && s.entries[0].expiresMS <= now.UnixMilli() {
		s.removeWhere(func(e entry) bool { return e.expiresMS <= now.UnixMilli() })
	}
	for len(s.entries) > 0 && s.usedBytes+addedBytes > s.limitBytes {
		oldest := s.entries[0].attempt
		s.removeWhere(func(e entry) bool { return e.attempt == oldest })
	}
}

// EnforceResidency removes the answers that the rules in force no longer allow here,
// and returns how many it removed. The caller runs it after each change of the rules.
func (s *Store) EnforceResidency(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.prune(now, 0)
	return s.removeWhere(func(e entry) bool { return !s.allowed(e.workspace) })
}

// removeWhere removes the answers that match and returns how many it removed.
func (s *Store) removeWhere(matches func(entry) bool) int {
	before := len(s.entries)
	s.entries = slices.DeleteFunc(s.entries, func(e entry) bool {
		if !matches(e) {
			return false
		}
		delete(s.memory, e.attempt)
		if s.dir != "" {
			if err := os.Remove(s.path(e.attempt)); err != nil && !errors.Is(err, os.ErrNotExist) {
				return false // the entry stays, so that the next call retries the removal
			}
		}
		delete(s.stored, e.attempt)
		s.usedBytes -= e.sizeBytes
		return true
	})
	return before - len(s.entries)
}

// Attempts returns the attempts whose answers are stored here.
func (s *Store) Attempts() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]string, len(s.entries))
	for i, e := range s.entries {
		out[i] = strings.Clone(e.attempt)
	}
	return out
}
