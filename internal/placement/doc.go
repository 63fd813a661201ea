// Package placement chooses the target of a request. It does no I/O and has no
// clock: the caller passes the time.
//
// For each target it models the requests in flight: their number, the prompt tokens
// that are not prefilled yet, the memory in use, and the prompt segments that the
// target is likely to have in its prefix cache. From this model it estimates the time
// to first byte (TTFB), which decides where a request is sent and whether it is
// refused.
//
// A request earns full credit if its first byte arrives within its objective. A cost is
// an expected loss or expense, as a fraction of that credit.
package placement
