package keys

import (
	"errors"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

func openFile(t *testing.T, path string) (*Withdrawals, *Table, *JournalFile, error) {
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

func ids(w *Withdrawals) string {
	var out []string
	for _, item := range w.Pending() {
		out = append(out, item.KeyID)
	}
	return strings.Join(out, ",")
}

// Guards against a withdrawal that a restart, a later grant or a torn write undoes.
func TestWithdrawalsSurviveRestart(t *testing.T) {
	path := filepath.Join(t.TempDir(), "withdrawals")
	w, _, journal, err := openFile(t, path)
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
	w, table, _, err := openFile(t, path)
	if err != nil || ids(w) != "a1,b2" {
		t.Fatalf("after the restart: %s, %v", ids(w), err)
	}
	token, _, hash := Generate()
	_, secret, _ := Parse(token)
	table.Grant(Key{ID: "a1", SecretHash: hash})
	if _, err := table.Check("gt_a1_" + secret); !errors.Is(err, ErrWithdrawn) {
		t.Errorf("a withdrawn key that is granted later gives %v", err)
	}
	if _, err := w.Add(Withdrawal{"d4", "after the torn write"}); err != nil {
		t.Fatal(err)
	}
	if w, _, _, err = openFile(t, path); err != nil || ids(w) != "a1,b2,d4" {
		t.Errorf("after the second restart: %s, %v", ids(w), err)
	}
}

// Guards against a damaged record that is used, or that hides the valid ones.
func TestDamagedWithdrawals(t *testing.T) {
	path := filepath.Join(t.TempDir(), "withdrawals")
	data := slices.Concat(encodeRecord(Withdrawal{"a1", "x"}), encodeRecord(Withdrawal{"b2", "x"}), encodeRecord(Withdrawal{"c3", "x"}))
	data[len(data)/2] ^= 4
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
	w, _, _, err := openFile(t, path)
	if !errors.Is(err, ErrDamaged) || !strings.Contains(err.Error(), path) || ids(w) != "a1" {
		t.Fatalf("got %s, %v", ids(w), err)
	}
	if w, _, _, err = openFile(t, path); err != nil || ids(w) != "a1" {
		t.Errorf("the new file gives %s, %v", ids(w), err)
	}
}

type failingJournal struct{ err error }

func (j *failingJournal) Append(Withdrawal) error { return j.err }

// Guards against a confirmation by a host that could not store the withdrawal.
func TestUnstoredWithdrawalIsNotConfirmed(t *testing.T) {
	table := NewTable()
	w := NewWithdrawals(table)
	journal := &failingJournal{err: errors.New("disk full")}
	w.Load(nil, journal)
	for range 2 {
		if _, err := w.Add(Withdrawal{KeyID: "a1"}); err == nil {
			t.Error("confirmed although it is not stored")
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
	if w.Published("a1"); w.Digest() != 0 || len(w.Pending()) > 0 {
		t.Error("still pending after it was published")
	}
}

// Guards against a token or a record that makes a host crash or that passes
// the check of a wrong id.
func FuzzToken(f *testing.F) {
	token, _, _ := Generate()
	for _, seed := range []string{token, "gt__", "gt_a_b", "gt_a_b_c", "", "gt_é_x"} {
		f.Add(seed)
	}
	table := NewTable()
	f.Fuzz(func(t *testing.T, text string) {
		id, secret, err := Parse(text)
		if err == nil && (!ValidID(id) || text != prefix+id+"_"+secret) {
			t.Errorf("%q gives id %q and secret %q", text, id, secret)
		}
		if _, err := table.Check(text); err == nil {
			t.Errorf("an empty table accepts %q", text)
		}
	})
}

func FuzzRecords(f *testing.F) {
	f.Add(slices.Concat(encodeRecord(Withdrawal{"a1", "x"}), encodeRecord(Withdrawal{"b2", ""})))
	f.Fuzz(func(t *testing.T, data []byte) {
		items, end, _ := readRecords(data)
		var again []byte
		for _, item := range items {
			again = append(again, encodeRecord(item)...)
		}
		if string(again) != string(data[:end]) {
			t.Errorf("records do not encode to what was read")
		}
	})
}
