// Package dispatch runs a request on targets: attempts with one absolute
// deadline and one dispatch budget, streams passed through as they arrive,
// recognition of truncated and crossed answers, and at most one forward to a
// host of another data centre.
package dispatch
