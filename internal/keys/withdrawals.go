package keys

import (
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
)

var (
	// ErrDamaged means that a record of the withdrawals file fails its check.
	ErrDamaged = errors.New("keys: withdrawals file is damaged")
	// ErrInvalidID means that a text cannot be a key id.
	ErrInvalidID = errors.New("keys: invalid key id")
)

const (
	maxIDBytes       = 64
	maxOperatorBytes = 256
	recordHeader     = 8 // length (4), CRC-32C (4)
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

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
	file      *os.File
	damaged   bool
}

// NewWithdrawals returns an empty set without a file, which enforces its
// members through the table.
func NewWithdrawals(table *Table) *Withdrawals {
	return &Withdrawals{table: table, items: map[string]Withdrawal{}, published: map[string]bool{}}
}

// Open loads the file and keeps it for new members. An incomplete record at
// the end was never acknowledged and is cut off. A record that fails its check
// gives ErrDamaged after all records before it are in force; the file is then
// set aside and a new one holds what could be read.
func (w *Withdrawals) Open(path string) error {
	data, err := os.ReadFile(path)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("keys: %w", err)
	}
	items, end, damage := readRecords(data)
	for _, item := range items {
		w.add(item)
	}
	if damage != nil {
		damage = fmt.Errorf("%w: %s, offset %d: %v", ErrDamaged, path, end, damage)
		if err := os.Rename(path, path+".damaged"); err != nil {
			return fmt.Errorf("keys: %w", err)
		}
	}
	f, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	if err := w.prepare(f, items, end, damage != nil); err != nil {
		_ = f.Close()
		return err
	}
	w.file = f
	return damage
}

// prepare makes the file end with its last whole record.
func (w *Withdrawals) prepare(f *os.File, items []Withdrawal, end int, rewrite bool) error {
	if rewrite {
		for _, item := range items {
			if _, err := f.Write(encodeRecord(item)); err != nil {
				return fmt.Errorf("keys: %w", err)
			}
		}
	} else {
		if err := f.Truncate(int64(end)); err != nil {
			return fmt.Errorf("keys: %w", err)
		}
		if _, err := f.Seek(int64(end), io.SeekStart); err != nil {
			return fmt.Errorf("keys: %w", err)
		}
	}
	if err := f.Sync(); err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	d, err := os.Open(filepath.Dir(f.Name()))
	if err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	defer d.Close()
	return d.Sync()
}

func encodeRecord(w Withdrawal) []byte {
	payload := append([]byte{byte(len(w.KeyID))}, w.KeyID...)
	payload = append(payload, w.Operator...)
	out := binary.BigEndian.AppendUint32(nil, uint32(len(payload)))
	out = binary.BigEndian.AppendUint32(out, crc32.Checksum(payload, castagnoli))
	return append(out, payload...)
}

// readRecords returns the whole records and the offset after them. The error
// tells that the record at that offset is there but wrong.
func readRecords(data []byte) (items []Withdrawal, end int, err error) {
	for len(data)-end >= recordHeader {
		length := int(binary.BigEndian.Uint32(data[end:]))
		sum := binary.BigEndian.Uint32(data[end+4:])
		if length < 1 || length > 1+maxIDBytes+maxOperatorBytes {
			return items, end, fmt.Errorf("record has length %d", length)
		}
		if len(data)-end-recordHeader < length {
			return items, end, nil
		}
		payload := data[end+recordHeader : end+recordHeader+length]
		if crc32.Checksum(payload, castagnoli) != sum {
			return items, end, errors.New("checksum does not match")
		}
		n := int(payload[0])
		if n > length-1 || !ValidID(string(payload[1:1+n])) {
			return items, end, errors.New("record has no valid key id")
		}
		items = append(items, Withdrawal{KeyID: string(payload[1 : 1+n]), Operator: string(payload[1+n:])})
		end += recordHeader + length
	}
	return items, end, nil
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

func (w *Withdrawals) addAndStore(item Withdrawal) (bool, error) {
	w.mu.Lock()
	_, known := w.items[item.KeyID]
	w.mu.Unlock()
	if known {
		return false, nil
	}
	w.add(item) // in force before it is stored, since it must never wait for a disk
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.file == nil {
		return true, nil
	}
	if w.damaged {
		return true, fmt.Errorf("%w: an earlier write failed", ErrDamaged)
	}
	_, err := w.file.Write(encodeRecord(item))
	if err == nil {
		err = w.file.Sync()
	}
	if err != nil {
		w.damaged = true
		return true, fmt.Errorf("keys: store withdrawal: %w", err)
	}
	return true, nil
}

func (w *Withdrawals) add(item Withdrawal) {
	w.table.Withdraw(item.KeyID)
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, known := w.items[item.KeyID]; known {
		return
	}
	w.items[item.KeyID] = item
	if !w.published[item.KeyID] {
		w.digest ^= xxhash.Sum64String(item.KeyID)
	}
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
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.file != nil && !w.damaged
}

// Close closes the file.
func (w *Withdrawals) Close() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.file == nil {
		return nil
	}
	return w.file.Close()
}
