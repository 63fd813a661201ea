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

// View is the published state with parsed rules, from which requests are served. It
// is immutable.
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
// decreases, and on a host with a disk, a state is synced before it is in force, so
// that the index does not decrease after a restart either.
type Replica struct {
	current       atomic.Pointer[View]
	mu            sync.Mutex
	store         StateStore
	recentChanges changeBuffer
	listeners     []func(*View)
}

// NewReplica returns a replica at index 0, without rules.
func NewReplica() *Replica {
	r := &Replica{}
	r.current.Store(&View{Rules: rules.EmptySet(), State: &fleetpb.State{}})
	return r
}

// PersistTo sets the store in which each state is saved before it is in force.
func (r *Replica) PersistTo(store StateStore) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.store = store
}

// View returns the state in force on this host.
func (r *Replica) View() *View { return r.current.Load() }

// OnChange registers a function that is called after each installed change.
func (r *Replica) OnChange(f func(*View)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listeners = append(r.listeners, f)
}

// Install puts a state in force if it is newer than the current one, and reports
// whether it did.
func (r *Replica) Install(state *fleetpb.State) (bool, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if state.Index <= r.current.Load().Index {
		return false, nil
	}
	if err := r.installLocked(clipLists(state)); err != nil {
		return false, err
	}
	r.recentChanges = changeBuffer{}
	return true, nil
}

// clipLists returns the state with the capacity of its lists reduced to their length,
// so that appending to them cannot overwrite elements of lists that the machine or
// another replica shares.
func clipLists(s *fleetpb.State) *fleetpb.State {
	return &fleetpb.State{
		Index: s.Index, Revision: s.Revision, Rules: s.Rules, Keys: slices.Clip(s.Keys), Withdrawn: slices.Clip(s.Withdrawn),
		History: slices.Clip(s.History), Hosts: slices.Clip(s.Hosts), QuotaEpoch: s.QuotaEpoch, RemovedHosts: slices.Clip(s.RemovedHosts),
	}
}

// Merge installs the response to a pull, or pushed changes. It skips changes that
// are already in force, and reports whether it installed anything. ErrGap means that
// changes between the current index and the given ones are missing.
func (r *Replica) Merge(in *fleetpb.PullResponse) (bool, error) {
	if in.GetState() != nil {
		return r.Install(in.State)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	state := r.current.Load().State
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
	if err := r.installLocked(state); err != nil {
		return false, err
	}
	for _, change := range in.Changes[first:] {
		r.recentChanges.add(change)
	}
	return true, nil
}

// ErrStaleState means that a state with a higher index has an older revision, or
// fewer keys or withdrawals, than the state in force. No correct voter publishes such
// a state.
var ErrStaleState = errors.New("fleet: state is older than the one in force")

// installLocked validates, stores and puts a newer state in force. The caller holds mu.
func (r *Replica) installLocked(state *fleetpb.State) error {
	old := r.current.Load()
	if state.Index <= old.Index {
		panic(fmt.Sprintf("fleet: index must increase, but goes from %d to %d", old.Index, state.Index))
	}
	if state.Revision < old.Revision || len(state.Keys) < len(old.State.Keys) || len(state.Withdrawn) < len(old.State.Withdrawn) {
		return fmt.Errorf("%w: state %d has revision %d, %d keys, %d withdrawals; in force are revision %d, %d keys, %d withdrawals", ErrStaleState,
			state.Index, state.Revision, len(state.Keys), len(state.Withdrawn), old.Revision, len(old.State.Keys), len(old.State.Withdrawn))
	}
	set := old.Rules
	if state.Revision != old.Revision {
		parsed, err := rules.Parse(state.Rules)
		if err != nil {
			return fmt.Errorf("fleet: parse published rules: %w", err)
		}
		set = parsed
	}
	if r.store != nil {
		if err := r.store.Save(state); err != nil {
			return err
		}
	}
	view := &View{Index: state.Index, Revision: state.Revision, Rules: set, State: state}
	r.current.Store(view)
	for _, f := range r.listeners {
		f(view)
	}
	return nil
}

// Since returns the changes after an index, or the full state if they are no longer
// buffered. The response is empty if there are none.
func (r *Replica) Since(index uint64) *fleetpb.PullResponse {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.recentChanges.since(index, r.current.Load().State)
}
