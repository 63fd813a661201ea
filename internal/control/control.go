package control

import (
	"context"
	"errors"
	"time"
)

var (
	// ErrNoQuorum means that the command was certainly not appended.
	ErrNoQuorum = errors.New("control: no quorum")
	// ErrUncertain means that the command may still be committed.
	ErrUncertain = errors.New("control: outcome uncertain")
	// ErrUnknownMachine means that the leader has no machine of that name; the
	// command was not appended.
	ErrUnknownMachine = errors.New("control: unknown machine")
	// ErrTooLarge means that the command is above the limit of 4 MiB; it was not
	// appended.
	ErrTooLarge = errors.New("control: command is too large")
)

// Log is what other packages see of the replicated log.
type Log interface {
	// Propose appends a command for the named machine and returns that
	// machine's result after commit and apply. It forwards to the leader.
	Propose(ctx context.Context, machine string, command []byte) ([]byte, error)
	// Lease reports whether this host is the leader with a valid lease, and
	// the term. Check it immediately before each effect.
	Lease() (term uint64, ok bool)
	// LeaseRemaining is how long the lease still holds; zero when not leader.
	LeaseRemaining() time.Duration
}

// Machine is applied on each voter in log order. Calls are serialised.
type Machine interface {
	Apply(index uint64, command []byte) (result []byte)
	Snapshot() ([]byte, error)
	Restore([]byte) error
}
