package gateway

import (
	"fmt"
	"sync/atomic"
	"time"

	"geraniumturn.example/geraniumturn/internal/clock"
	"geraniumturn.example/geraniumturn/internal/document"
	"geraniumturn.example/geraniumturn/internal/fleetsync"
	"geraniumturn.example/geraniumturn/internal/fleetsync/syncpb"
	"geraniumturn.example/geraniumturn/internal/registry"
)

// View is an immutable snapshot of the configuration and of the evacuations. Index is
// its position in the replicated log. Evacuated and Restored map data centres to the
// index of the start and of the end of their evacuation.
type View struct {
	Config    *document.Index
	Index     uint64
	Evacuated map[string]uint64
	Restored  map[string]uint64
}

// hasService reports whether the configuration has the service of a target. What is said of
// targets of other services decides nothing.
func (v *View) hasService(r registry.Record) bool {
	return v != nil && v.Config != nil && v.Config.Service(r.Service) != nil
}

// ViewStore holds the newest view. Invariant: neither version nor index ever decreases.
type ViewStore struct {
	decoder ConfigurationDecoder
	current atomic.Pointer[View]
	// validAsOf is the time, since boot, up to which the view contains every acknowledged
	// change; 0 if none is confirmed.
	validAsOf atomic.Int64
	// firstLoaded is closed when the first configuration is in force.
	firstLoaded chan struct{}
}

// NewViewStore returns a store without a view.
func NewViewStore(decoder ConfigurationDecoder) *ViewStore {
	return &ViewStore{decoder: decoder, firstLoaded: make(chan struct{})}
}

// Current returns the view in force, or nil if there is none.
func (v *ViewStore) Current() *View { return v.current.Load() }

// FirstLoaded returns a channel that is closed when the first configuration is in force.
func (v *ViewStore) FirstLoaded() <-chan struct{} { return v.firstLoaded }

// usable reports whether there is a confirmed configuration to serve requests with.
func (v *ViewStore) usable() bool {
	c := v.Current()
	return c != nil && c.Config != nil && v.validAsOf.Load() != 0
}

// Age returns the maximum age of the view. It reports false if there is no view.
func (v *ViewStore) Age(now time.Duration) (time.Duration, bool) {
	asOf := time.Duration(v.validAsOf.Load())
	if asOf == 0 {
		return 0, false
	}
	return max(0, now-asOf), true
}

// position returns the index of the view and the version of its configuration.
func (v *ViewStore) position() (index, version uint64) {
	c := v.Current()
	if c == nil {
		return 0, 0
	}
	if c.Config == nil {
		return c.Index, 0
	}
	return c.Index, c.Config.Version
}

// apply applies the response of a control host and reports whether the view changed.
// Evacuations take effect before the content of a newer version that has yet to be
// fetched; the view is not confirmed meanwhile. Calls must be serialised.
func (v *ViewStore) apply(u fleetsync.Update) (changed bool, err error) {
	if !v.usable() {
		defer func() {
			if v.usable() {
				close(v.firstLoaded)
			}
		}()
	}
	index, version := v.position()
	next := &View{}
	if c := v.Current(); c != nil {
		*next = *c
	}
	newer := u.GetVersion() > version
	if newer && !u.AwaitsContent() {
		d, err := v.decoder.Decode(u.GetContent())
		if err != nil {
			return false, fmt.Errorf("gateway: version %d: %w", u.GetVersion(), err)
		}
		next.Config, changed = document.NewIndex(d), true
	}
	if u.GetIndex() > index {
		next.Index, next.Evacuated, next.Restored = u.GetIndex(), evacuationIndexes(u.GetEvacuated()), evacuationIndexes(u.GetRestored())
		changed = true
	}
	if changed {
		v.current.Store(next)
	}
	// Without a content that is missing, the view has everything in the response, so it is
	// as new as the response.
	if u.GetKnown() && next.Index > 0 && (!newer || !u.AwaitsContent()) {
		asOf := u.SentAt - time.Duration(u.GetAgeMs())*time.Millisecond
		v.validAsOf.Store(max(v.validAsOf.Load(), int64(asOf)))
	}
	return changed, nil
}

func evacuationIndexes(in []*syncpb.Evacuation) map[string]uint64 {
	out := make(map[string]uint64, len(in))
	for _, e := range in {
		out[e.GetDataCentre()] = e.GetIndex()
	}
	return out
}

func sinceBoot() time.Duration { return clock.SinceBoot() }
