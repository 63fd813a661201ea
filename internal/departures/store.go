package departures

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"geraniumturn.example/geraniumturn/internal/durable"
	"geraniumturn.example/geraniumturn/internal/registry"
)

// ErrDamaged means that the stored departures cannot be read. The other control hosts tell
// this one again.
var ErrDamaged = errors.New("departures: damaged file")

// Store keeps departures in one file, which it replaces as a whole: there are few.
type Store struct{ path string }

// storedDeparture is a departure in the file. Fields keep their names and meanings.
type storedDeparture struct {
	ID         string         `json:"id"`
	Start      int64          `json:"start_ms"`
	Sequence   uint64         `json:"sequence"`
	State      registry.State `json:"state"`
	Service    string         `json:"service"`
	Address    string         `json:"address"`
	DataCentre string         `json:"data_centre"`
	Software   string         `json:"software"`
	Slots      int            `json:"slots"`
}

// OpenStore returns the store in a directory, which it creates if it is missing.
func OpenStore(dir string) (*Store, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, fmt.Errorf("departures: %w", err)
	}
	if err := durable.SyncDir(filepath.Dir(dir)); err != nil {
		return nil, fmt.Errorf("departures: %w", err)
	}
	return &Store{filepath.Join(dir, "departures.json")}, nil
}

// Save replaces the stored departures. They are durable when it returns.
func (s *Store) Save(records []registry.Record) error {
	stored := make([]storedDeparture, len(records))
	for i, r := range records {
		stored[i] = storedDeparture{ID: r.ID, Start: r.StartMillis, Sequence: r.Sequence, State: r.State, Service: r.Service,
			Address: r.Address, DataCentre: r.DataCentre, Software: r.Software, Slots: r.Slots}
	}
	data, err := json.Marshal(stored)
	if err == nil {
		err = durable.ReplaceFile(s.path, data)
	}
	if err != nil {
		return fmt.Errorf("departures: %w", err)
	}
	return nil
}

// Load returns the stored departures. The former process may have ended before it made the
// file durable, but they count as stored only once they have been saved again.
func (s *Store) Load() ([]registry.Record, error) {
	data, err := os.ReadFile(s.path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("departures: %w", err)
	}
	var stored []storedDeparture
	if err := json.Unmarshal(data, &stored); err != nil {
		return nil, fmt.Errorf("%w: %s: %v", ErrDamaged, s.path, err)
	}
	records := make([]registry.Record, 0, len(stored))
	for _, d := range stored {
		r := registry.Record{ID: d.ID, StartMillis: d.Start, Sequence: d.Sequence, State: d.State, Service: d.Service,
			Address: d.Address, DataCentre: d.DataCentre, Software: d.Software, Slots: d.Slots}
		if err := r.Validate(); err != nil || r.State == registry.Ready {
			return nil, fmt.Errorf("%w: %s: target %q, state %d: %v", ErrDamaged, s.path, d.ID, d.State, err)
		}
		records = append(records, r)
	}
	return records, nil
}
