// Package operations runs a non-idempotent request at most once. A record in
// the replicated log admits one attempt for each idempotency key. The complete
// response is stored, as an Answer, on the dispatching host and on one more host
// that residency allows, so that a resend through any host gets the same response.
//
// An attempt is opened by a Begin command and closed by Finish, when it got a
// response, or by Abandon, when it certainly was not dispatched. An attempt with an
// unknown outcome stays open until its record expires.
package operations
