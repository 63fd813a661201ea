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
	// ErrUnknown means that the token is malformed, its key was never granted, or
	// its secret is wrong.
	ErrUnknown = errors.New("keys: unknown key")
	// ErrWithdrawn means that the key was withdrawn.
	ErrWithdrawn = errors.New("keys: key is withdrawn")
)

const (
	tokenPrefix = "gt_"
	idBytes     = 8
	secretBytes = 32
)

// Key is a granted key as hosts store it.
type Key struct {
	ID         string
	Workspace  string
	SecretHash []byte
}

// Generate returns a new key: the token for the caller, the key id, and the hash
// of the secret. Only id and hash are stored, and the token cannot be derived
// from them.
func Generate() (token, id string, secretHash []byte) {
	raw := make([]byte, idBytes+secretBytes)
	_, _ = rand.Read(raw) // never fails since Go 1.24
	id = hex.EncodeToString(raw[:idBytes])
	secret := hex.EncodeToString(raw[idBytes:])
	hash := sha256.Sum256([]byte(secret))
	return tokenPrefix + id + "_" + secret, id, hash[:]
}

// Parse splits a token into key id and secret.
func Parse(token string) (id, secret string, err error) {
	idAndSecret, ok := strings.CutPrefix(token, tokenPrefix)
	if !ok {
		return "", "", fmt.Errorf("%w: not a geraniumturn key", ErrUnknown)
	}
	id, secret, ok = strings.Cut(idAndSecret, "_")
	if !ok || !ValidID(id) || secret == "" {
		return "", "", fmt.Errorf("%w: malformed", ErrUnknown)
	}
	return id, secret, nil
}

// Table holds the keys that are in force on this host, and their open requests.
// Invariants: withdrawn only grows, and a withdrawn key is never accepted, even
// if the same id is granted later.
type Table struct {
	mu           sync.RWMutex
	keys         map[string]Key
	withdrawn    map[string]bool
	openRequests map[string]map[*openRequest]struct{}
	conns        connTracker
}

type openRequest struct{ cancel func() }

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{keys: map[string]Key{}, withdrawn: map[string]bool{}, openRequests: map[string]map[*openRequest]struct{}{}}
}

// Grant adds granted keys.
func (t *Table) Grant(granted ...Key) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, k := range granted {
		t.keys[k.ID] = k
	}
}

// Withdraw rejects the key from now on, cancels its open requests and closes its
// idle connections. It reports whether the withdrawal was new.
func (t *Table) Withdraw(id string) bool {
	t.mu.Lock()
	alreadyWithdrawn := t.withdrawn[id]
	t.withdrawn[id] = true
	requests := t.openRequests[id]
	delete(t.openRequests, id)
	t.mu.Unlock()
	for r := range requests {
		r.cancel()
	}
	t.conns.withdraw(id)
	return !alreadyWithdrawn
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

// Check authenticates a token and returns its key. The error is ErrUnknown or
// ErrWithdrawn.
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

// Track registers an open request of a key; cancel is called at most once, when
// the key is withdrawn. If the key is already withdrawn, Track returns
// ErrWithdrawn, so that a withdrawal between Check and Track is not missed. The
// caller must call release when the request ends.
func (t *Table) Track(id string, cancel func()) (release func(), err error) {
	r := &openRequest{cancel: cancel}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.withdrawn[id] {
		return nil, ErrWithdrawn
	}
	if t.openRequests[id] == nil {
		t.openRequests[id] = map[*openRequest]struct{}{}
	}
	t.openRequests[id][r] = struct{}{}
	return func() { t.release(id, r) }, nil
}

func (t *Table) release(id string, r *openRequest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.openRequests[id], r)
	if len(t.openRequests[id]) == 0 {
		delete(t.openRequests, id)
	}
}
