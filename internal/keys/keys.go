package keys

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"errors"
	"fmt"
	"strings"
	"sync"
)

var (
	// ErrUnknown means that the key was never granted or its secret is wrong.
	ErrUnknown = errors.New("keys: unknown key")
	// ErrWithdrawn means that the key was withdrawn.
	ErrWithdrawn = errors.New("keys: key is withdrawn")
)

const (
	prefix      = "gt_"
	idBytes     = 8
	secretBytes = 32
)

// Key is a granted key as hosts store it.
type Key struct {
	ID         string
	Workspace  string
	SecretHash []byte
}

// Generate returns a new key: its token for the caller, its id, and the hash
// of its secret. The token cannot be derived from what is stored.
func Generate() (token, id string, secretHash []byte) {
	raw := make([]byte, idBytes+secretBytes)
	_, _ = rand.Read(raw) // never fails since Go 1.24
	id = hex.EncodeToString(raw[:idBytes])
	secret := hex.EncodeToString(raw[idBytes:])
	hash := sha256.Sum256([]byte(secret))
	return prefix + id + "_" + secret, id, hash[:]
}

// Parse splits a token into key id and secret.
func Parse(token string) (id, secret string, err error) {
	rest, ok := strings.CutPrefix(token, prefix)
	if !ok {
		return "", "", fmt.Errorf("%w: not a geraniumturn key", ErrUnknown)
	}
	id, secret, ok = strings.Cut(rest, "_")
	if !ok || !ValidID(id) || secret == "" {
		return "", "", fmt.Errorf("%w: malformed", ErrUnknown)
	}
	return id, secret, nil
}

// Table holds the keys that this host knows. Invariant: withdrawn only grows,
// and a withdrawn key is never accepted, whatever is granted later.
type Table struct {
	mu        sync.RWMutex
	keys      map[string]Key
	withdrawn map[string]bool
	open      map[string]map[*openRequest]struct{}
	conns     connections
}

type openRequest struct{ end func() }

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{keys: map[string]Key{}, withdrawn: map[string]bool{}, open: map[string]map[*openRequest]struct{}{}}
}

// Grant adds granted keys.
func (t *Table) Grant(granted ...Key) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, k := range granted {
		t.keys[k.ID] = k
	}
}

// Withdraw stops the key and ends its open requests. It reports whether the
// withdrawal was new.
func (t *Table) Withdraw(id string) bool {
	t.mu.Lock()
	known := t.withdrawn[id]
	t.withdrawn[id] = true
	requests := t.open[id]
	delete(t.open, id)
	t.mu.Unlock()
	for r := range requests {
		r.end()
	}
	t.conns.end(id)
	return !known
}

// IsWithdrawn reports whether the key is withdrawn.
func (t *Table) IsWithdrawn(id string) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.withdrawn[id]
}

// Withdrawn lists the withdrawn key ids in no particular order.
func (t *Table) Withdrawn() []string {
	t.mu.RLock()
	defer t.mu.RUnlock()
	out := make([]string, 0, len(t.withdrawn))
	for id := range t.withdrawn {
		out = append(out, id)
	}
	return out
}

// Check returns the key that the token belongs to.
func (t *Table) Check(token string) (Key, error) {
	id, secret, err := Parse(token)
	if err != nil {
		return Key{}, err
	}
	hash := sha256.Sum256([]byte(secret))
	t.mu.RLock()
	defer t.mu.RUnlock()
	k, ok := t.keys[id]
	if !ok || subtle.ConstantTimeCompare(hash[:], k.SecretHash) != 1 {
		return Key{}, ErrUnknown
	}
	if t.withdrawn[id] {
		return Key{}, ErrWithdrawn
	}
	return k, nil
}

// Track registers an open request of a key; end is called at most once, when
// the key is withdrawn. If it is withdrawn already, Track returns ErrWithdrawn,
// so that no request slips in between Check and Track. The caller must call
// release when the request is over.
func (t *Table) Track(id string, end func()) (release func(), err error) {
	r := &openRequest{end: end}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.withdrawn[id] {
		return nil, ErrWithdrawn
	}
	if t.open[id] == nil {
		t.open[id] = map[*openRequest]struct{}{}
	}
	t.open[id][r] = struct{}{}
	return func() { t.release(id, r) }, nil
}

func (t *Table) release(id string, r *openRequest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.open[id], r)
	if len(t.open[id]) == 0 {
		delete(t.open, id)
	}
}
