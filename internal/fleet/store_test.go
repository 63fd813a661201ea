package fleet

import (
	"errors"
	"os"
	"testing"

	"geraniumturn.example/geraniumturn/internal/durable"
	"geraniumturn.example/geraniumturn/internal/fleet/fleetpb"
)

// Guards against a state that counts as stored although a loss of power can still bring
// back the former one: the process that renamed it ended before the directory was
// synced.
func TestLoadSyncsNames(t *testing.T) {
	dir := t.TempDir()
	s, err := OpenStore(dir)
	if err != nil {
		t.Fatal(err)
	}
	killed := errors.New("killed during the sync")
	restore := durable.SetSync(func(f *os.File) error {
		if f.Name() == dir {
			return killed
		}
		return nil
	})
	err = s.Save(&fleetpb.State{})
	restore()
	if !errors.Is(err, killed) {
		t.Fatal(err)
	}
	synced := false
	defer durable.SetSync(func(f *os.File) error {
		synced = synced || f.Name() == dir
		return nil
	})()
	if state, err := s.Load(); err != nil || state == nil || !synced {
		t.Errorf("directory synced: %v, state %v, %v", synced, state, err)
	}
}
