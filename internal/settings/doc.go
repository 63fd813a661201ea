// Package settings reads the start-up settings of one process from a TOML
// file. They are checked in full before anything starts; unknown keys are
// errors with file and line. What may change while traffic flows is in the
// rules file instead.
package settings
