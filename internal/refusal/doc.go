// Package refusal defines the errors that callers see: a stable code, the HTTP
// status that belongs to it, whether the request ran, and when to try again.
package refusal
