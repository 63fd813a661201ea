// Package timeline records events of this process in a bounded buffer. Their hybrid
// logical timestamps give a causal order across processes. Events never contain
// request or response bodies, API keys or key secrets.
package timeline
