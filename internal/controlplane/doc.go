// Package controlplane implements the API of a control host whose configuration is a
// document: changing and reading the configuration, heartbeats of targets, and the
// directory of entry hosts. Request formats are handled by the adapter that calls it.
package controlplane
