package keys

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// ErrInvalidID means that a text cannot be a key id.
var ErrInvalidID = errors.New("keys: invalid key id")

const (
	maxIDBytes       = 64
	maxOperatorBytes = 256
)

// ValidID reports whether the text can be a key id. The underscore separates
// id and secret in a token, so an id has letters and digits only.
func ValidID(id string) bool {
	if id == "" || len(id) > maxIDBytes {
		return false
	}
	for _, c := range []byte(id) {
		if (c < '0' || c > '9') && (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') {
			return false
		}
	}
	return true
}

// Withdrawal is one member of the grow-only set.
type Withdrawal struct {
	KeyID    string
	Operator string
}

// Withdrawals is the grow-only set of withdrawals that this host knows apart
// from the published state. On a host with a disk each is synced before Add
// returns. Invariant: nothing is ever removed.
type Withdrawals struct {
	table *Table

	mu        sync.Mutex
	items     map[string]Withdrawal
	published map[string]bool
	digest    uint64

	// storing orders writes to the journal, which are slow.
	storing sync.Mutex
	journal Journal
	stored  map[string]bool
}

// Journal stores withdrawals durably.
type Journal interface {
	// Append returns after the withdrawal is synced.
	Append(Withdrawal) error
}

// NewWithdrawals returns an empty set without a journal, which enforces its
// members through the table.
func NewWithdrawals(table *Table) *Withdrawals {
	return &Withdrawals{table: table, items: map[string]Withdrawal{}, published: map[string]bool{}, stored: map[string]bool{}}
}

// Load puts withdrawals in force that were stored before, and stores new ones
// in the journal from now on.
func (w *Withdrawals) Load(stored []Withdrawal, journal Journal) {
	w.storing.Lock()
	defer w.storing.Unlock()
	for _, item := range stored {
		w.add(item)
		w.stored[item.KeyID] = true
	}
	w.journal = journal
}

// Add puts withdrawals in force and stores them. They are in force even when
// storing fails; the error then tells that they are not durable on this host.
func (w *Withdrawals) Add(items ...Withdrawal) (added int, err error) {
	for _, item := range items {
		if !ValidID(item.KeyID) {
			return added, fmt.Errorf("%w: %q", ErrInvalidID, item.KeyID)
		}
		item.Operator = item.Operator[:min(len(item.Operator), maxOperatorBytes)]
		isNew, storeErr := w.addAndStore(item)
		if isNew {
			added++
		}
		err = errors.Join(err, storeErr)
	}
	return added, err
}

// addAndStore returns only when the item is stored, also when another call
// added it at the same time or when storing it failed before.
func (w *Withdrawals) addAndStore(item Withdrawal) (isNew bool, err error) {
	isNew = w.add(item) // in force before it is stored, since it must not wait for a disk
	w.storing.Lock()
	defer w.storing.Unlock()
	if w.journal == nil || w.stored[item.KeyID] {
		return isNew, nil
	}
	if err := w.journal.Append(item); err != nil {
		return isNew, err
	}
	w.stored[item.KeyID] = true
	return isNew, nil
}

func (w *Withdrawals) add(item Withdrawal) (isNew bool) {
	w.table.Withdraw(item.KeyID)
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, known := w.items[item.KeyID]; known {
		return false
	}
	w.items[item.KeyID] = item
	if !w.published[item.KeyID] {
		w.digest ^= xxhash.Sum64String(item.KeyID)
	}
	return true
}

// Published tells which withdrawals the published state holds; they need no
// further spreading.
func (w *Withdrawals) Published(ids ...string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, id := range ids {
		if w.published[id] {
			continue
		}
		w.published[id] = true
		if _, held := w.items[id]; held {
			w.digest ^= xxhash.Sum64String(id)
		}
	}
}

// Pending lists the withdrawals that the published state lacks, by key id.
func (w *Withdrawals) Pending() []Withdrawal {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.digest == 0 {
		return nil // equal digests of two different ids do not occur in practice
	}
	var out []Withdrawal
	for id, item := range w.items {
		if !w.published[id] {
			out = append(out, item)
		}
	}
	slices.SortFunc(out, func(a, b Withdrawal) int { return cmp.Compare(a.KeyID, b.KeyID) })
	return out
}

// Digest changes with the pending withdrawals. It is 0 when there are none.
func (w *Withdrawals) Digest() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.digest
}

// Durable reports whether members are stored on a disk.
func (w *Withdrawals) Durable() bool {
	w.storing.Lock()
	defer w.storing.Unlock()
	return w.journal != nil
}
