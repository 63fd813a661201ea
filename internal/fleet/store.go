package fleet

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"

	"google.golang.org/protobuf/proto"

	"geraniumturn.example/geraniumturn/internal/durable"
	"geraniumturn.example/geraniumturn/internal/fleet/fleetpb"
)

// ErrDamaged means that the stored file is invalid and was not used.
var ErrDamaged = errors.New("fleet: stored state is damaged")

const (
	stateFile        = "state"
	stateMagic       = "GTSTATE1"
	stateHeaderBytes = len(stateMagic) + 12 // magic, length (8), CRC-32C (4)
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Store keeps the published state in a single file. It writes the full state for
// each change: at 2,100 changes a day and 1 MB per state, this is 25 KB/s.
type Store struct{ dir string }

// OpenStore returns the store in a directory, which it creates if it is missing.
func OpenStore(dir string) (*Store, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	if err := durable.SyncDir(filepath.Dir(dir)); err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	return &Store{dir: dir}, nil
}

// Path returns the path of the state file.
func (s *Store) Path() string { return filepath.Join(s.dir, stateFile) }

// Save implements StateStore. It replaces the file atomically, so that a crash
// leaves either the old or the new state.
func (s *Store) Save(state *fleetpb.State) error {
	payload, err := proto.Marshal(state)
	if err != nil {
		return fmt.Errorf("fleet: marshal state: %w", err)
	}
	data := make([]byte, 0, stateHeaderBytes+len(payload))
	data = append(data, stateMagic...)
	data = binary.BigEndian.AppendUint64(data, uint64(len(payload)))
	data = binary.BigEndian.AppendUint32(data, crc32.Checksum(payload, castagnoli))
	data = append(data, payload...)
	if err := durable.ReplaceFile(s.Path(), data); err != nil {
		return fmt.Errorf("fleet: write %s: %w", s.Path(), err)
	}
	return nil
}

// Load returns the stored state, or nil if there is none.
func (s *Store) Load() (*fleetpb.State, error) {
	data, err := os.ReadFile(s.Path())
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	state, err := decodeState(data)
	if err != nil {
		return nil, fmt.Errorf("%w: %s: %v", ErrDamaged, s.Path(), err)
	}
	// The former process may have ended between the rename and the sync of the directory.
	if err := durable.SyncDir(s.dir); err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	return state, nil
}

func decodeState(data []byte) (*fleetpb.State, error) {
	if len(data) < stateHeaderBytes || string(data[:len(stateMagic)]) != stateMagic {
		return nil, errors.New("no valid header")
	}
	length := binary.BigEndian.Uint64(data[len(stateMagic):])
	sum := binary.BigEndian.Uint32(data[len(stateMagic)+8:])
	payload := data[stateHeaderBytes:]
	if length != uint64(len(payload)) {
		return nil, fmt.Errorf("payload has %d bytes instead of %d", len(payload), length)
	}
	if crc32.Checksum(payload, castagnoli) != sum {
		return nil, errors.New("checksum does not match")
	}
	state := &fleetpb.State{}
	if err := proto.Unmarshal(payload, state); err != nil {
		return nil, err
	}
	return state, nil
}

// Quarantine renames a damaged state file, which keeps it for inspection and lets
// Save write a new one.
func (s *Store) Quarantine() error {
	if err := os.Rename(s.Path(), s.Path()+".damaged"); err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	if err := durable.SyncDir(s.dir); err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	return nil
}
