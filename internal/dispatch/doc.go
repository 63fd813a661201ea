// Package dispatch sends a request to targets. All attempts share one absolute
// deadline and one dispatch budget. Streams are passed through as they arrive.
// Truncated responses, and responses that belong to another request, are detected
// and discarded. A request is forwarded at most once, to a host of another data
// centre.
package dispatch
