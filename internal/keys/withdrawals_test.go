package keys

import (
	"errors"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

func openWithdrawals(t *testing.T, path string) (*Withdrawals, *Table, *JournalFile, error) {
	t.Helper()
	table := NewTable()
	w := NewWithdrawals(table)
	journal, stored, err := OpenJournal(path)
	if journal == nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = journal.Close() })
	w.Load(stored, journal)
	return w, table, journal, err
}

func pendingIDs(w *Withdrawals) string {
	var out []string
	for _, item := range w.Pending() {
		out = append(out, item.KeyID)
	}
	return strings.Join(out, ",")
}

// Guards against a withdrawal that is lost through a restart, a later grant of the
// same id, or an incomplete last record after a crash.
func TestWithdrawalsSurviveRestart(t *testing.T) {
	path := filepath.Join(t.TempDir(), "withdrawals")
	w, _, journal, err := openWithdrawals(t, path)
	if err != nil {
		t.Fatal(err)
	}
	if n, err := w.Add(Withdrawal{"a1", "Iker"}, Withdrawal{"b2", "Marta"}, Withdrawal{"a1", "again"}); n != 2 || err != nil {
		t.Fatalf("added %d, %v", n, err)
	}
	if err := journal.Close(); err != nil {
		t.Fatal(err)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	torn := append(slices.Clone(data), encodeRecord(Withdrawal{"c3", "torn"})[:11]...)
	if err := os.WriteFile(path, torn, 0o600); err != nil {
		t.Fatal(err)
	}
	w, table, _, err := openWithdrawals(t, path)
	if err != nil || pendingIDs(w) != "a1,b2" {
		t.Fatalf("after the restart: %s, %v", pendingIDs(w), err)
	}
	token, _, hash := Generate()
	_, secret, _ := Parse(token)
	table.Grant(Key{ID: "a1", SecretHash: hash})
	if _, err := table.Check("gt_a1_" + secret); !errors.Is(err, ErrWithdrawn) {
		t.Errorf("Check of a withdrawn key that was granted again: %v", err)
	}
	if _, err := w.Add(Withdrawal{"d4", "after the torn write"}); err != nil {
		t.Fatal(err)
	}
	if w, _, _, err = openWithdrawals(t, path); err != nil || pendingIDs(w) != "a1,b2,d4" {
		t.Errorf("after the second restart: %s, %v", pendingIDs(w), err)
	}
}

// Guards against a record with a wrong checksum that is loaded, or that prevents
// the valid records before it from being loaded.
func TestDamagedWithdrawals(t *testing.T) {
	path := filepath.Join(t.TempDir(), "withdrawals")
	data := slices.Concat(encodeRecord(Withdrawal{"a1", "x"}), encodeRecord(Withdrawal{"b2", "x"}), encodeRecord(Withdrawal{"c3", "x"}))
	data[len(data)/2] ^= 4
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
	w, _, _, err := openWithdrawals(t, path)
	if !errors.Is(err, ErrDamaged) || !strings.Contains(err.Error(), path) || pendingIDs(w) != "a1" {
		t.Fatalf("got %s, %v", pendingIDs(w), err)
	}
	if w, _, _, err = openWithdrawals(t, path); err != nil || pendingIDs(w) != "a1" {
		t.Errorf("reopened the new file: got %s, %v", pendingIDs(w), err)
	}
}

type failingJournal struct{ err error }

func (j *failingJournal) Append(Withdrawal) error { return j.err }

// Guards against a host that confirms a withdrawal after it failed to store it. The
// withdrawal must still be in force, and a repeated Add must store it.
func TestUnstoredWithdrawalIsNotConfirmed(t *testing.T) {
	table := NewTable()
	w := NewWithdrawals(table)
	journal := &failingJournal{err: errors.New("disk full")}
	w.Load(nil, journal)
	for range 2 {
		if _, err := w.Add(Withdrawal{KeyID: "a1"}); err == nil {
			t.Error("Add succeeded although the journal failed")
		}
	}
	if !table.IsWithdrawn("a1") {
		t.Error("not in force")
	}
	if journal.err = nil; w.Digest() == 0 {
		t.Error("not pending")
	}
	if _, err := w.Add(Withdrawal{KeyID: "a1"}); err != nil {
		t.Error(err)
	}
	if w.MarkPublished("a1"); w.Digest() != 0 || len(w.Pending()) > 0 {
		t.Error("still pending after it was published")
	}
}

// Guards against a token that crashes the parser, gives an invalid id, or is
// accepted without a granted key.
func FuzzToken(f *testing.F) {
	token, _, _ := Generate()
	for _, seed := range []string{token, "gt__", "gt_a_b", "gt_a_b_c", "", "gt_é_x"} {
		f.Add(seed)
	}
	table := NewTable()
	f.Fuzz(func(t *testing.T, text string) {
		id, secret, err := Parse(text)
		if err == nil && (!ValidID(id) || text != tokenPrefix+id+"_"+secret) {
			t.Errorf("%q gives id %q and secret %q", text, id, secret)
		}
		if _, err := table.Check(text); err == nil {
			t.Errorf("an empty table accepts %q", text)
		}
	})
}

// Guards against a journal file that crashes the reader, or whose records are read
// with other values than were written.
func FuzzRecords(f *testing.F) {
	f.Add(slices.Concat(encodeRecord(Withdrawal{"a1", "x"}), encodeRecord(Withdrawal{"b2", ""})))
	f.Fuzz(func(t *testing.T, data []byte) {
		items, end, _ := readRecords(data)
		var reencoded []byte
		for _, item := range items {
			reencoded = append(reencoded, encodeRecord(item)...)
		}
		if string(reencoded) != string(data[:end]) {
			t.Errorf("encoding the decoded records does not give the input")
		}
	})
}
