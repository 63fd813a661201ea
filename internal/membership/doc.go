// Package membership tells which hosts are alive. Detector is the I/O-free
// failure detector; Members is its thread-safe form with the read-only
// functions that other components use.
package membership
