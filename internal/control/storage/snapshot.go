package storage

import (
	"errors"
	"fmt"
	"os"

	"google.golang.org/protobuf/proto"

	"geraniumturn.example/geraniumturn/internal/control/controlpb"
	"geraniumturn.example/geraniumturn/internal/control/core"
)

// snapshotSalt replaces the random salt of a log in the checksum of a snapshot.
var snapshotSalt = []byte("snapshot")

// SaveSnapshot replaces the stored snapshot. The log must start at or before the
// snapshot's index and contain it; otherwise Rewrite must be called next.
func (s *Storage) SaveSnapshot(snapshot core.Snapshot) error {
	payload, err := proto.Marshal(SnapshotToProto(snapshot))
	if err != nil {
		return fmt.Errorf("control: storage: %w", err)
	}
	return s.replaceFile(snapshotFile, appendFrame(nil, snapshotSalt, payload))
}

// LoadSnapshot reads the stored snapshot. It returns an empty one if there is none.
func (s *Storage) LoadSnapshot() (core.Snapshot, error) {
	path := s.path(snapshotFile)
	data, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return core.Snapshot{}, nil
	}
	if err != nil {
		return core.Snapshot{}, fmt.Errorf("control: storage: %w", err)
	}
	payload, size, ok := decodeFrame(snapshotSalt, data)
	if !ok || size != len(data) {
		return core.Snapshot{}, fmt.Errorf("%w: %s: unreadable record at offset 0", ErrDamaged, path)
	}
	var p controlpb.Snapshot
	if err := proto.Unmarshal(payload, &p); err != nil {
		return core.Snapshot{}, fmt.Errorf("%w: %s: %v", ErrDamaged, path, err)
	}
	return SnapshotFromProto(&p), nil
}

func (s *Storage) loadSnapshot(loaded *Loaded) (err error) {
	loaded.Snapshot, err = s.LoadSnapshot()
	return err
}

// SnapshotToProto converts a snapshot for the wire and the disk.
func SnapshotToProto(s core.Snapshot) *controlpb.Snapshot {
	return &controlpb.Snapshot{Index: s.Index, Term: s.Term, Members: MembersToProto(s.Members), Data: s.Data}
}

// SnapshotFromProto is the reverse of SnapshotToProto.
func SnapshotFromProto(p *controlpb.Snapshot) core.Snapshot {
	return core.Snapshot{Index: p.GetIndex(), Term: p.GetTerm(), Members: MembersFromProto(p.GetMembers()), Data: p.GetData()}
}
