package fleet

import (
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"

	"geraniumturn.example/geraniumturn/internal/fleet/fleetpb"
	"geraniumturn.example/geraniumturn/internal/rules"
)

// View is the published state in the form that requests are served from. It is
// immutable.
type View struct {
	Index    uint64
	Revision uint64
	Rules    *rules.Set
	State    *fleetpb.State
}

// StateStore stores the published state durably.
type StateStore interface {
	// Save returns after the state is synced.
	Save(state *fleetpb.State) error
}

// Replica is this host's copy of the published state. Invariants: its index never
// decreases, and on a host with a disk a state is synced before it is in force,
// so that a restart does not go back either.
type Replica struct {
	current   atomic.Pointer[View]
	mu        sync.Mutex
	keeper    StateStore
	recent    journal
	listeners []func(*View)
}

// NewReplica returns a copy at index 0, without rules.
func NewReplica() *Replica {
	c := &Replica{}
	c.current.Store(&View{Rules: rules.EmptySet(), State: &fleetpb.State{}})
	return c
}

// PersistTo makes the copy store each state before it is in force.
func (c *Replica) PersistTo(k StateStore) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keeper = k
}

// View returns the state in force on this host.
func (c *Replica) View() *View { return c.current.Load() }

// OnChange registers a function that is called after each installed change.
func (c *Replica) OnChange(f func(*View)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listeners = append(c.listeners, f)
}

// Install puts a newer state in force. It ignores one that is not newer and
// reports whether it was installed.
func (c *Replica) Install(state *fleetpb.State) (bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state.Index <= c.current.Load().Index {
		return false, nil
	}
	if err := c.put(ownLists(state)); err != nil {
		return false, err
	}
	c.recent = journal{}
	return true, nil
}

// ownLists returns the state with lists of its own capacity, so that appending
// to them cannot write into the lists of the machine or of another copy.
func ownLists(s *fleetpb.State) *fleetpb.State {
	return &fleetpb.State{
		Index: s.Index, Revision: s.Revision, Rules: s.Rules, Keys: slices.Clip(s.Keys), Withdrawn: slices.Clip(s.Withdrawn),
		History: slices.Clip(s.History), Hosts: slices.Clip(s.Hosts), QuotaEpoch: s.QuotaEpoch, RemovedHosts: slices.Clip(s.RemovedHosts),
	}
}

// Merge installs the answer to a pull, or pushed changes. Changes that are in
// force already are passed over. ErrGap means that some are missing in between.
func (c *Replica) Merge(in *fleetpb.PullResponse) (bool, error) {
	if in.GetState() != nil {
		return c.Install(in.State)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	state := c.current.Load().State
	first := -1
	for i, change := range in.GetChanges() {
		if change.GetIndex() <= state.Index {
			continue
		}
		next, err := applyChange(state, change)
		if err != nil {
			return false, err
		}
		if state = next; first < 0 {
			first = i
		}
	}
	if first < 0 {
		return false, nil
	}
	if err := c.put(state); err != nil {
		return false, err
	}
	for _, change := range in.Changes[first:] {
		c.recent.add(change)
	}
	return true, nil
}

// ErrStaleState means that a newer index came with an older revision, or with fewer
// keys or withdrawals, which no correct voter publishes.
var ErrStaleState = errors.New("fleet: state is older than the one in force")

func (c *Replica) put(state *fleetpb.State) error {
	old := c.current.Load()
	if state.Index <= old.Index {
		panic(fmt.Sprintf("fleet: index would go from %d to %d", old.Index, state.Index))
	}
	if state.Revision < old.Revision || len(state.Keys) < len(old.State.Keys) || len(state.Withdrawn) < len(old.State.Withdrawn) {
		return fmt.Errorf("%w: state %d has revision %d, %d keys, %d withdrawals; in force are revision %d, %d keys, %d withdrawals", ErrStaleState,
			state.Index, state.Revision, len(state.Keys), len(state.Withdrawn), old.Revision, len(old.State.Keys), len(old.State.Withdrawn))
	}
	set := old.Rules
	if state.Revision != old.Revision {
		parsed, err := rules.Parse(state.Rules)
		if err != nil {
			return fmt.Errorf("fleet: published rules: %w", err)
		}
		set = parsed
	}
	if c.keeper != nil {
		if err := c.keeper.Save(state); err != nil {
			return err
		}
	}
	view := &View{Index: state.Index, Revision: state.Revision, Rules: set, State: state}
	c.current.Store(view)
	for _, f := range c.listeners {
		f(view)
	}
	return nil
}

// Since returns what a copy at the index lacks.
func (c *Replica) Since(index uint64) *fleetpb.PullResponse {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.recent.since(index, c.current.Load().State)
}
