// Package gateway serves callers of a deployment whose configuration is a document:
// it finds route and workspace, takes the rate, chooses a target, passes the request
// on unchanged and returns the answer unchanged.
//
// How requests, answers and refusals are written belongs to CallerProtocol and
// TargetProtocol. What proves that a request has not run decides whether it may be
// sent again: a repeatable request may always be, within the budget; any other only
// after such a proof.
package gateway
