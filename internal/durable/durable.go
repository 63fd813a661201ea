// Package durable writes files that survive a loss of power.
//
// A process that ends between a write or rename and its sync leaves content that the
// next process can read but that a loss of power still takes away. Whoever loads a file
// and counts its content as durable must therefore sync the file and its directory
// first.
package durable

import (
	"os"
	"path/filepath"
	"sync/atomic"
)

// TempSuffix ends the names of temporary files. A crash can leave one behind.
const TempSuffix = ".tmp"

// syncHook replaces the sync of a file or directory in tests.
var syncHook atomic.Pointer[func(*os.File) error]

// SetSync replaces the sync of files and directories, so that a test can make it fail
// or observe it. It returns a function that ends the replacement.
func SetSync(sync func(*os.File) error) (restore func()) {
	syncHook.Store(&sync)
	return func() { syncHook.Store(nil) }
}

// Sync makes the content of an open file or directory durable.
func Sync(f *os.File) error {
	if hook := syncHook.Load(); hook != nil {
		return (*hook)(f)
	}
	return f.Sync()
}

// SyncDir makes created, renamed and removed names of a directory durable.
func SyncDir(path string) error {
	d, err := os.Open(path)
	if err != nil {
		return err
	}
	defer d.Close()
	return Sync(d)
}

// ReplaceFile writes a temporary file, syncs it, renames it and syncs the directory, so
// that a crash leaves either the old or the new content.
func ReplaceFile(path string, data []byte) error {
	f, err := os.OpenFile(path+TempSuffix, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	_, err = f.Write(data)
	if err == nil {
		err = Sync(f)
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = os.Rename(path+TempSuffix, path)
	}
	if err != nil {
		return err
	}
	return SyncDir(filepath.Dir(path))
}
