// Package gateway is the HTTP gateway of an entry host in a deployment that is
// configured by a document. For each request it looks up route and workspace, charges
// the workspace's rate limit, chooses a target, forwards the request unchanged and
// returns the response unchanged.
//
// CallerProtocol and TargetProtocol define how requests, responses and refusals are
// encoded. A repeatable request may be retried within the retry budget; any other
// request only after proof that the failed attempt did not run it.
package gateway
