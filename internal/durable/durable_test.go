package durable

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
)

// Guards against a replaced file that a crash leaves half written, and against a
// replacement that is reported although its directory was not synced.
func TestReplaceFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "f")
	if err := ReplaceFile(path, []byte("old")); err != nil {
		t.Fatal(err)
	}
	errSync := errors.New("sync failed")
	for _, failAt := range []int{1, 2} {
		calls := 0
		restore := SetSync(func(*os.File) error {
			if calls++; calls == failAt {
				return errSync
			}
			return nil
		})
		err := ReplaceFile(path, []byte("new"))
		restore()
		if !errors.Is(err, errSync) {
			t.Errorf("sync %d failed, but ReplaceFile returned %v", failAt, err)
		}
		want := map[int]string{1: "old", 2: "new"}[failAt]
		if data, err := os.ReadFile(path); err != nil || string(data) != want {
			t.Errorf("after failed sync %d: %q, %v; want %q", failAt, data, err, want)
		}
	}
}
