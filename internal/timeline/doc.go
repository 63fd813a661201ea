// Package timeline records events of this process in a bounded buffer, with
// hybrid logical stamps that give a causal order over all processes. Events
// never carry bodies, keys or key secrets.
package timeline
