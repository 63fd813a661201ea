// Package refusal defines the errors that callers receive: a stable code, its HTTP
// status, whether the request ran, and when to retry.
package refusal
