// Package client is the client library of the geraniumturn gateway. It discovers the
// entry hosts, fails over between them, and retries a request only when that is safe.
package client
