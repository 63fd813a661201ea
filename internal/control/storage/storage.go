package storage

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"google.golang.org/protobuf/proto"

	"geraniumturn.example/geraniumturn/internal/control/controlpb"
	"geraniumturn.example/geraniumturn/internal/control/core"
	"geraniumturn.example/geraniumturn/internal/durable"
)

const (
	idFile       = "id"
	logFile      = "log"
	snapshotFile = "snapshot"
	idBytes      = 16
)

// Loaded is the state of a voter as read from disk.
type Loaded struct {
	ID       string
	State    core.HardState
	Snapshot core.Snapshot
	// Base and BaseTerm are the index and term of the entry before Entries.
	Base, BaseTerm uint64
	Entries        []core.Entry
	// TruncatedBytes is the size of an incomplete record that was removed from the
	// end of the log.
	TruncatedBytes int64

	// logReplaced is true if the log on disk does not match the snapshot and must be
	// rewritten without entries.
	logReplaced bool
}

// Storage is the open directory of one voter. It is not safe for concurrent use. After
// an error it must not be used again, because the content of the disk is unknown.
type Storage struct {
	dir  string
	log  *os.File
	salt []byte
}

// Open reads the directory. If it is empty, Open creates the files with a random id.
func Open(dir string) (*Storage, *Loaded, error) { return OpenWithID(dir, "") }

// OpenWithID is like Open, but an empty directory gets the given id; "" means a
// random one.
func OpenWithID(dir, newID string) (*Storage, *Loaded, error) {
	s := &Storage{dir: dir}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, nil, fmt.Errorf("control: storage: %w", err)
	}
	if err := durable.SyncDir(filepath.Dir(dir)); err != nil {
		return nil, nil, fmt.Errorf("control: storage: %w", err)
	}
	id, err := os.ReadFile(s.path(idFile))
	if errors.Is(err, os.ErrNotExist) {
		return s.create(newID)
	}
	if err != nil {
		return nil, nil, fmt.Errorf("control: storage: %w", err)
	}
	loaded := &Loaded{ID: strings.TrimSpace(string(id))}
	if len(loaded.ID) != 2*idBytes {
		return nil, nil, fmt.Errorf("%w: %s: the voter id has the wrong length", ErrDamaged, s.path(idFile))
	}
	if err := s.load(loaded); err != nil {
		return nil, nil, err
	}
	return s, loaded, nil
}

func (s *Storage) path(name string) string { return filepath.Join(s.dir, name) }

// create creates the files of a new voter. The id is written last, so a directory
// without it has never been used.
func (s *Storage) create(id string) (*Storage, *Loaded, error) {
	if _, err := os.Stat(s.path(snapshotFile)); err == nil {
		return nil, nil, fmt.Errorf("%w: %s is missing although a snapshot exists", ErrDamaged, s.path(idFile))
	}
	if data, err := os.ReadFile(s.path(logFile)); err == nil && len(data) > fileHeaderBytes {
		if payloads, _, err := decodeLog(data); err != nil || len(payloads) > 1 {
			return nil, nil, fmt.Errorf("%w: %s is missing although a log exists", ErrDamaged, s.path(idFile))
		}
	}
	if id == "" {
		id = randomHex(idBytes)
	}
	loaded := &Loaded{ID: id}
	if err := s.Rewrite(loaded.ID, core.HardState{}, 0, 0, nil); err != nil {
		return nil, nil, err
	}
	if err := s.replaceFile(idFile, []byte(loaded.ID+"\n")); err != nil {
		return nil, nil, err
	}
	return s, loaded, nil
}

func randomHex(n int) string {
	raw := make([]byte, n)
	_, _ = rand.Read(raw) // never fails since Go 1.24
	return hex.EncodeToString(raw)
}

func (s *Storage) load(loaded *Loaded) error {
	if err := s.loadSnapshot(loaded); err != nil {
		return err
	}
	path := s.path(logFile)
	data, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("%w: %s: %v", ErrDamaged, path, err)
	}
	payloads, end, err := decodeLog(data)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	if err := replay(loaded, payloads); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	s.salt = append([]byte(nil), data[len(magic):fileHeaderBytes]...)
	if s.log, err = os.OpenFile(path, os.O_WRONLY, 0); err != nil {
		return fmt.Errorf("control: storage: %w", err)
	}
	loaded.TruncatedBytes = int64(len(data) - end)
	if loaded.logReplaced {
		return s.Rewrite(loaded.ID, loaded.State, loaded.Base, loaded.BaseTerm, nil)
	}
	return s.syncLoaded(int64(end), loaded.TruncatedBytes > 0)
}

// syncLoaded makes the loaded log durable up to its end: the former process may have
// ended between a write and its sync. Whoever opens the voter counts its entries and its
// vote as durable.
func (s *Storage) syncLoaded(end int64, truncate bool) error {
	if truncate {
		if err := s.log.Truncate(end); err != nil {
			return fmt.Errorf("control: storage: %w", err)
		}
	}
	if err := durable.Sync(s.log); err != nil {
		return fmt.Errorf("control: storage: %w", err)
	}
	if err := durable.SyncDir(s.dir); err != nil {
		return fmt.Errorf("control: storage: %w", err)
	}
	if _, err := s.log.Seek(end, 0); err != nil {
		return fmt.Errorf("control: storage: %w", err)
	}
	return nil
}

// replay decodes the frames of a log into loaded. The first frame contains the voter
// id and the position before the first entry.
func replay(loaded *Loaded, payloads [][]byte) error {
	if len(payloads) == 0 {
		return fmt.Errorf("%w: first record is missing at offset %d", ErrDamaged, fileHeaderBytes)
	}
	for i, payload := range payloads {
		var b controlpb.Batch
		if err := proto.Unmarshal(payload, &b); err != nil {
			return fmt.Errorf("%w: record %d: %v", ErrDamaged, i, err)
		}
		if i == 0 {
			if b.GetId() != loaded.ID {
				return fmt.Errorf("%w: the log belongs to voter %q, not %q", ErrDamaged, b.GetId(), loaded.ID)
			}
			loaded.Base, loaded.BaseTerm = b.GetBase(), b.GetBaseTerm()
		}
		if err := replayBatch(loaded, &b, i); err != nil {
			return err
		}
	}
	return reconcileSnapshot(loaded)
}

// reconcileSnapshot drops a log that a received snapshot has replaced. The snapshot is
// written before the log is rewritten, so a crash in between leaves the old log.
func reconcileSnapshot(loaded *Loaded) error {
	index := loaded.Snapshot.Index
	if loaded.Base > index {
		return fmt.Errorf("%w: the log starts after entry %d, but the snapshot ends at %d", ErrDamaged, loaded.Base, index)
	}
	term := loaded.BaseTerm
	if index > loaded.Base {
		term = 0
		if n := index - loaded.Base; n <= uint64(len(loaded.Entries)) {
			term = loaded.Entries[n-1].Term
		}
	}
	if term != loaded.Snapshot.Term {
		loaded.Base, loaded.BaseTerm, loaded.Entries = index, loaded.Snapshot.Term, nil
		loaded.logReplaced = true
	}
	return nil
}

func replayBatch(loaded *Loaded, b *controlpb.Batch, i int) error {
	if b.GetState() != nil {
		loaded.State = core.HardState{Term: b.GetState().GetTerm(), Vote: b.GetState().GetVote()}
	}
	for _, e := range EntriesFromProto(b.GetEntries()) {
		next := loaded.Base + uint64(len(loaded.Entries)) + 1
		if e.Index <= loaded.Base || e.Index > next {
			return fmt.Errorf("%w: record %d: entry %d does not follow entry %d", ErrDamaged, i, e.Index, next-1)
		}
		loaded.Entries = append(loaded.Entries[:e.Index-loaded.Base-1], e)
	}
	return nil
}

// Append writes a state, which may be nil, and entries as one record and syncs it.
// The first entry replaces all stored entries from its index on.
func (s *Storage) Append(state *core.HardState, entries []core.Entry) error {
	frame, err := encodeBatch(s.salt, &controlpb.Batch{State: stateToProto(state), Entries: EntriesToProto(entries)})
	if err != nil {
		return err
	}
	if _, err := s.log.Write(frame); err != nil {
		return fmt.Errorf("control: storage: %w", err)
	}
	if err := durable.Sync(s.log); err != nil {
		return fmt.Errorf("control: storage: %w", err)
	}
	return nil
}

func stateToProto(state *core.HardState) *controlpb.HardState {
	if state == nil {
		return nil
	}
	return &controlpb.HardState{Term: state.Term, Vote: state.Vote}
}

func encodeBatch(salt []byte, b *controlpb.Batch) ([]byte, error) {
	payload, err := proto.Marshal(b)
	if err != nil {
		return nil, fmt.Errorf("control: storage: %w", err)
	}
	if len(payload) > maxFrameBytes {
		return nil, fmt.Errorf("control: storage: record of %d bytes is too large", len(payload))
	}
	return appendFrame(nil, salt, payload), nil
}

// Rewrite atomically replaces the whole log.
func (s *Storage) Rewrite(id string, state core.HardState, base, baseTerm uint64, entries []core.Entry) error {
	salt := make([]byte, saltBytes)
	_, _ = rand.Read(salt)
	frame, err := encodeBatch(salt, &controlpb.Batch{
		Id: id, Base: base, BaseTerm: baseTerm, State: stateToProto(&state), Entries: EntriesToProto(entries),
	})
	if err != nil {
		return err
	}
	if err := s.replaceFile(logFile, append(append([]byte(magic), salt...), frame...)); err != nil {
		return err
	}
	if s.log != nil {
		_ = s.log.Close()
	}
	s.salt = salt
	if s.log, err = os.OpenFile(s.path(logFile), os.O_WRONLY|os.O_APPEND, 0); err != nil {
		return fmt.Errorf("control: storage: %w", err)
	}
	return nil
}

func (s *Storage) replaceFile(name string, data []byte) error {
	if err := durable.ReplaceFile(s.path(name), data); err != nil {
		return fmt.Errorf("control: storage: %w", err)
	}
	return nil
}

// Close closes the files.
func (s *Storage) Close() error { return s.log.Close() }
