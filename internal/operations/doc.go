// Package operations runs a non-idempotent request at most once. A record in
// the replicated log admits one attempt for each idempotency key; the whole
// answer rests on the dispatching host and on one more host that residency
// allows, so that a resend through any host gets the same answer.
package operations
