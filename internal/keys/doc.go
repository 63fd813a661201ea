// Package keys authenticates callers by their API keys and cancels the open
// requests of a key when it is withdrawn. Of a secret, only the SHA-256 hash is
// stored.
package keys
