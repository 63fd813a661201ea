// Package keys checks callers' keys and ends the open requests of a key when
// it is withdrawn. Secrets are stored as SHA-256 only.
package keys
