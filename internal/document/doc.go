// Package document holds the configuration of a deployment as one versioned document:
// routes, services, workspaces and limits. The highest version wins; a document whose
// version is not higher changes nothing.
//
// Document is the decoded and validated form. Machine is the replicated state machine
// that orders documents and evacuations; it stores a document as the bytes that the
// operator sent, so that a read returns them unchanged.
package document
