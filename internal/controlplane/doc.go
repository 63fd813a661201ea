// Package controlplane is what operators, targets and callers ask of a control host
// whose configuration is a document: change and read the configuration, announce a
// target, find an entry host. How the questions are written belongs to the adapter
// that calls it.
package controlplane
