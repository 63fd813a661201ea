package fleet

import (
	"fmt"
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

// Copy is this host's copy of the published state. Invariant: its index never
// decreases.
type Copy struct {
	current   atomic.Pointer[View]
	mu        sync.Mutex
	listeners []func(*View)
}

// NewCopy returns a copy at index 0, without rules.
func NewCopy() *Copy {
	c := &Copy{}
	c.current.Store(&View{Rules: rules.EmptySet(), State: &fleetpb.State{}})
	return c
}

// View returns the state in force on this host.
func (c *Copy) View() *View { return c.current.Load() }

// OnChange registers a function that is called after each installed change.
func (c *Copy) OnChange(f func(*View)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listeners = append(c.listeners, f)
}

// Install puts a newer state in force. It ignores one that is not newer and
// reports whether it was installed.
func (c *Copy) Install(state *fleetpb.State) (bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.current.Load()
	if state.Index <= old.Index {
		return false, nil
	}
	if state.Revision < old.Revision {
		return false, fmt.Errorf("fleet: state %d has revision %d, older than %d in force", state.Index, state.Revision, old.Revision)
	}
	set := old.Rules
	if state.Revision != old.Revision {
		parsed, err := rules.Parse(state.Rules)
		if err != nil {
			return false, fmt.Errorf("fleet: published rules: %w", err)
		}
		set = parsed
	}
	view := &View{Index: state.Index, Revision: state.Revision, Rules: set, State: state}
	c.current.Store(view)
	for _, f := range c.listeners {
		f(view)
	}
	return true, nil
}
