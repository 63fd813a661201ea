// Package document is the configuration of a deployment that arrives as one
// versioned document: routes, services, workspaces and limits. The highest version
// wins; a document whose version is not higher changes nothing.
//
// Document is the decoded and checked form that requests are served by. Machine is
// the replicated state machine that orders documents and evacuations; it keeps a
// document as the bytes that the operator sent, so that a read returns them.
package document
