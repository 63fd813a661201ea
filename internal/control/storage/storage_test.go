package storage

import (
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"geraniumturn.example/geraniumturn/internal/control/core"
	"geraniumturn.example/geraniumturn/internal/durable"
)

func entry(index, term uint64) core.Entry {
	return core.Entry{Index: index, Term: term, Kind: core.EntryCommand, Data: []byte{byte(index), byte(term)}}
}

func mustOpen(t *testing.T, dir string) (*Storage, *Loaded) {
	t.Helper()
	s, loaded, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	return s, loaded
}

func mustAppend(t *testing.T, s *Storage, state *core.HardState, entries ...core.Entry) {
	t.Helper()
	if err := s.Append(state, entries); err != nil {
		t.Fatal(err)
	}
}

// writeLog creates a voter's directory with three records. It returns the directory,
// the content of the log and the offsets at which its records end, the initial record
// included.
func writeLog(t *testing.T) (dir string, data []byte, ends []int) {
	t.Helper()
	dir = filepath.Join(t.TempDir(), "control")
	s, _ := mustOpen(t, dir)
	path := filepath.Join(dir, logFile)
	size := func() {
		data, _ = os.ReadFile(path)
		ends = append(ends, len(data))
	}
	size()
	mustAppend(t, s, &core.HardState{Term: 1, Vote: "a"}, entry(1, 1))
	size()
	mustAppend(t, s, nil, entry(2, 1), entry(3, 1))
	size()
	mustAppend(t, s, &core.HardState{Term: 2}, entry(3, 2))
	size()
	return dir, data, ends
}

// Guards against a voter that loses its id, vote or entries at a restart, and against
// replaced entries that reappear.
func TestReopen(t *testing.T) {
	dir, _, _ := writeLog(t)
	_, first := mustOpen(t, dir)
	_, second := mustOpen(t, dir)
	if first.ID != second.ID || len(first.ID) != 2*idBytes {
		t.Errorf("id %q, then %q", first.ID, second.ID)
	}
	if second.State != (core.HardState{Term: 2}) {
		t.Errorf("state %+v", second.State)
	}
	want := []core.Entry{entry(1, 1), entry(2, 1), entry(3, 2)}
	if !reflect.DeepEqual(second.Entries, want) {
		t.Errorf("entries %+v, want %+v", second.Entries, want)
	}
}

// Guards against a voter that does not start after a crash during a write, or that
// accepts an incomplete last record.
func TestIncompleteEndIsRemoved(t *testing.T) {
	dir, data, ends := writeLog(t)
	path := filepath.Join(dir, logFile)
	for cut := ends[0]; cut < len(data); cut++ {
		for _, zeros := range []int{0, len(data) - cut} {
			torn := append(append([]byte(nil), data[:cut]...), make([]byte, zeros)...)
			if err := os.WriteFile(path, torn, 0o600); err != nil {
				t.Fatal(err)
			}
			s, loaded := mustOpen(t, dir)
			complete := 0
			for complete+1 < len(ends) && ends[complete+1] <= cut {
				complete++
			}
			if want := []int{0, 1, 3, 3}[complete]; len(loaded.Entries) != want {
				t.Fatalf("cut at %d with %d zeros: %d entries, want %d", cut, zeros, len(loaded.Entries), want)
			}
			mustAppend(t, s, &core.HardState{Term: 9})
			if _, reloaded := mustOpen(t, dir); reloaded.State.Term != 9 {
				t.Fatalf("cut at %d with %d zeros: a later record is lost", cut, zeros)
			}
		}
	}
}

// Guards against acknowledged records that are silently dropped because an earlier
// byte of the log is corrupt.
func TestCorruptionBeforeTheEndIsAnError(t *testing.T) {
	dir, data, ends := writeLog(t)
	path := filepath.Join(dir, logFile)
	for offset := 0; offset < ends[len(ends)-2]; offset++ {
		damaged := append([]byte(nil), data...)
		damaged[offset] ^= 0x40
		if err := os.WriteFile(path, damaged, 0o600); err != nil {
			t.Fatal(err)
		}
		_, _, err := Open(dir)
		if offset >= len(magic) && offset < fileHeaderBytes {
			// A corrupt salt makes every record unreadable, the first one included.
			if !errors.Is(err, ErrDamaged) {
				t.Fatalf("damage at %d: %v", offset, err)
			}
			continue
		}
		if !errors.Is(err, ErrDamaged) || !strings.Contains(err.Error(), path) || !strings.Contains(err.Error(), "offset") {
			t.Fatalf("damage at %d: %v, want an error with file and offset", offset, err)
		}
	}
}

// Guards against a voter that votes twice under its id in a term after it has lost one
// of its files.
func TestMissingFileIsAnError(t *testing.T) {
	for _, name := range []string{idFile, logFile} {
		dir, _, _ := writeLog(t)
		if err := os.Remove(filepath.Join(dir, name)); err != nil {
			t.Fatal(err)
		}
		if _, _, err := Open(dir); !errors.Is(err, ErrDamaged) {
			t.Errorf("without %s: %v", name, err)
		}
	}
}

// Guards against a crash between the write of a snapshot, local or received, and the
// rewrite of the log that leaves a directory that cannot be loaded or has replaced
// entries.
func TestSnapshotWithOldLog(t *testing.T) {
	for _, c := range []struct {
		snapshot core.Snapshot
		entries  int
		base     uint64
	}{
		{core.Snapshot{Index: 2, Term: 1, Data: []byte("own")}, 3, 0},
		{core.Snapshot{Index: 2, Term: 3, Data: []byte("other history")}, 0, 2},
		{core.Snapshot{Index: 50, Term: 3, Data: []byte("far ahead")}, 0, 50},
	} {
		dir, _, _ := writeLog(t)
		s, _ := mustOpen(t, dir)
		if err := s.SaveSnapshot(c.snapshot); err != nil {
			t.Fatal(err)
		}
		_, loaded := mustOpen(t, dir)
		if !reflect.DeepEqual(loaded.Snapshot, c.snapshot) || len(loaded.Entries) != c.entries || loaded.Base != c.base {
			t.Errorf("%+v: loaded %+v", c.snapshot, loaded)
		}
		if loaded.State != (core.HardState{Term: 2}) {
			t.Errorf("%+v: state %+v", c.snapshot, loaded.State)
		}
		s, _ = mustOpen(t, dir)
		if err := s.Rewrite(loaded.ID, loaded.State, c.snapshot.Index, c.snapshot.Term, nil); err != nil {
			t.Fatal(err)
		}
		mustAppend(t, s, nil, entry(c.snapshot.Index+1, 4))
		if _, reloaded := mustOpen(t, dir); len(reloaded.Entries) != 1 || reloaded.Base != c.snapshot.Index {
			t.Errorf("%+v: after the rewrite %+v", c.snapshot, reloaded)
		}
	}
}

// Guards against a log file whose content makes the decoder panic, accept a record
// with a wrong checksum, or drop a complete record.
func FuzzDecodeLog(f *testing.F) {
	salt := []byte("12345678")
	header := append([]byte(magic), salt...)
	f.Add(header, []byte("payload"), 3)
	f.Add(appendFrame(append([]byte(nil), header...), salt, []byte("x")), []byte{}, 0)
	f.Fuzz(func(t *testing.T, data, payload []byte, cut int) {
		payloads, end, err := decodeLog(data)
		if err == nil && (end > len(data) || len(payloads) > len(data)) {
			t.Fatalf("%d records up to offset %d of %d bytes", len(payloads), end, len(data))
		}
		file := appendFrame(append([]byte(nil), header...), salt, payload)
		firstEnd := len(file)
		file = appendFrame(file, salt, data)
		payloads, _, err = decodeLog(file)
		if err != nil || len(payloads) != 2 || string(payloads[0]) != string(payload) || string(payloads[1]) != string(data) {
			t.Fatalf("two records were read as %d, %v", len(payloads), err)
		}
		if cut = firstEnd + int(uint(cut)%uint(len(file)-firstEnd)); cut < len(file) {
			payloads, end, err = decodeLog(file[:cut])
			if err != nil || len(payloads) != 1 || end != firstEnd {
				t.Fatalf("cut at %d: %d records up to %d, %v", cut, len(payloads), end, err)
			}
		}
		var loaded Loaded
		_ = replay(&loaded, [][]byte{data})
	})
}

// syncs records what is durable: the content of files at their last sync, and the
// directories that were synced.
type syncs struct {
	content map[string]string
	dirs    map[string]bool
}

func recordSyncs(t *testing.T) *syncs {
	s := &syncs{content: map[string]string{}, dirs: map[string]bool{}}
	t.Cleanup(durable.SetSync(func(f *os.File) error {
		if info, err := f.Stat(); err != nil || info.IsDir() {
			s.dirs[f.Name()] = true
			return err
		}
		data, err := os.ReadFile(f.Name())
		s.content[f.Name()] = string(data)
		return err
	}))
	return s
}

// Guards against a voter that counts entries as durable which its former process wrote
// but did not sync: a loss of power after the kill would take back what a majority had
// acknowledged.
func TestOpenSyncsWhatItLoads(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "control")
	s, _ := mustOpen(t, dir)
	mustAppend(t, s, &core.HardState{Term: 1, Vote: "a"}, entry(1, 1))
	killed := errors.New("killed during the sync")
	restore := durable.SetSync(func(*os.File) error { return killed })
	if err := s.Append(nil, []core.Entry{entry(2, 1)}); !errors.Is(err, killed) {
		t.Fatal(err)
	}
	restore()

	recorded := recordSyncs(t)
	_, loaded := mustOpen(t, dir)
	path := filepath.Join(dir, logFile)
	data, err := os.ReadFile(path)
	if err != nil || len(loaded.Entries) != 2 {
		t.Fatalf("%d entries, %v", len(loaded.Entries), err)
	}
	if recorded.content[path] != string(data) {
		t.Errorf("%d of %d bytes of the log are durable", len(recorded.content[path]), len(data))
	}
	if !recorded.dirs[dir] {
		t.Error("the names of the files are not durable")
	}
}
