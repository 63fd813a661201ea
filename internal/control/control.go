package control

import (
	"context"
	"errors"
	"time"
)

var (
	// ErrNoQuorum means that the command was certainly not appended because no
	// leader with a quorum was found in time.
	ErrNoQuorum = errors.New("control: no quorum")
	// ErrUncertain means that the command may be committed, now or later.
	ErrUncertain = errors.New("control: outcome uncertain")
	// ErrUnknownMachine means that the leader has no machine of that name. The
	// command was not appended.
	ErrUnknownMachine = errors.New("control: unknown machine")
	// ErrTooLarge means that the command is larger than 4 MiB. It was not appended.
	ErrTooLarge = errors.New("control: command is too large")
	// ErrRefused means that the machine refused the command before it was appended.
	ErrRefused = errors.New("control: command refused")
)

// Log is the interface of the replicated log for other packages.
type Log interface {
	// Propose appends a command for the named machine, on the leader if this host is
	// another one. It returns the machine's result once the command is committed and
	// applied.
	Propose(ctx context.Context, machine string, command []byte) ([]byte, error)
	// Lease reports whether this host is the leader with a valid lease, and returns
	// the term. Check it immediately before each external effect.
	Lease() (term uint64, ok bool)
	// LeaseRemaining returns how long the lease is still valid; zero if this host is
	// not the leader.
	LeaseRemaining() time.Duration
}

// Guard is implemented by a Machine that refuses some commands before they are appended,
// which keeps conditions out of the log: every build applies all of its entries.
type Guard interface {
	// Admit returns an error if the command must not take effect on the state of the
	// machine after it has applied the pending commands. It runs on the leader, with the
	// commands that are in its log and not applied.
	Admit(pending [][]byte, command []byte) error
}

// Machine is a replicated state machine. Each voter applies the committed commands
// to it in log order. Calls are serialised.
type Machine interface {
	Apply(index uint64, command []byte) (result []byte)
	Snapshot() ([]byte, error)
	Restore([]byte) error
}
