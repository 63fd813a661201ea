// Package attachment decides whether a host reaches the targets of its region. A failed
// connection says nothing about which end has failed; connections to several targets
// that fail without a success between them mean that this host has lost its path.
package attachment
