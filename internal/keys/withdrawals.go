package keys

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// ErrInvalidID means that a string is not a valid key id.
var ErrInvalidID = errors.New("keys: invalid key id")

const (
	maxIDBytes       = 64
	maxOperatorBytes = 256
)

// ValidID reports whether the string is a valid key id: at most 64 ASCII letters
// and digits. An underscore is not allowed because it separates id and secret in
// a token.
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

// Withdrawal is one element of the grow-only set Withdrawals.
type Withdrawal struct {
	KeyID    string
	Operator string
}

// Withdrawals is the grow-only set of the withdrawals that this host received
// other than through the published state. On a host with a disk, each withdrawal
// is synced before Add returns. Invariant: nothing is ever removed.
type Withdrawals struct {
	table *Table

	mu        sync.Mutex
	items     map[string]Withdrawal
	published map[string]bool
	digest    uint64

	// journalMu serialises writes to the journal and guards the fields below. It
	// is separate from mu because these writes wait for the disk.
	journalMu sync.Mutex
	journal   Journal
	stored    map[string]bool
}

// Journal stores withdrawals durably.
type Journal interface {
	// Append returns after the withdrawal is synced.
	Append(Withdrawal) error
}

// NewWithdrawals returns an empty set without a journal. Each withdrawal that is
// added to the set is also applied to the table.
func NewWithdrawals(table *Table) *Withdrawals {
	return &Withdrawals{table: table, items: map[string]Withdrawal{}, published: map[string]bool{}, stored: map[string]bool{}}
}

// Load applies withdrawals that were stored before a restart, and sets the journal
// to which new ones are written.
func (w *Withdrawals) Load(stored []Withdrawal, journal Journal) {
	w.journalMu.Lock()
	defer w.journalMu.Unlock()
	for _, item := range stored {
		w.add(item)
		w.stored[item.KeyID] = true
	}
	w.journal = journal
}

// Add applies withdrawals and stores them. They are in force even if storing them
// fails; the error then means that they are not durable on this host.
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

// addAndStore returns nil only if the item is stored. This includes an item that a
// concurrent call added, and one that an earlier call failed to store.
func (w *Withdrawals) addAndStore(item Withdrawal) (isNew bool, err error) {
	isNew = w.add(item) // applied first, so that enforcement does not wait for the disk
	w.journalMu.Lock()
	defer w.journalMu.Unlock()
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
	if _, exists := w.items[item.KeyID]; exists {
		return false
	}
	w.items[item.KeyID] = item
	if !w.published[item.KeyID] {
		w.digest ^= xxhash.Sum64String(item.KeyID)
	}
	return true
}

// MarkPublished marks withdrawals that the published state contains. They are no
// longer pending, since the state distributes them.
func (w *Withdrawals) MarkPublished(ids ...string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, id := range ids {
		if w.published[id] {
			continue
		}
		w.published[id] = true
		if _, exists := w.items[id]; exists {
			w.digest ^= xxhash.Sum64String(id)
		}
	}
}

// Pending lists the withdrawals that are not in the published state, sorted by
// key id.
func (w *Withdrawals) Pending() []Withdrawal {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.digest == 0 {
		return nil // a set of pending ids whose hashes cancel out does not occur in practice
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

// Digest returns a hash of the pending withdrawals that does not depend on their
// order, so that hosts can compare their sets. It is 0 if there are none.
func (w *Withdrawals) Digest() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.digest
}

// Durable reports whether the set has a journal, so that Add stores withdrawals
// durably.
func (w *Withdrawals) Durable() bool {
	w.journalMu.Lock()
	defer w.journalMu.Unlock()
	return w.journal != nil
}
