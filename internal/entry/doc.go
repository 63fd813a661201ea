// Package entry serves callers over HTTP: requests for targets, host discovery,
// health checks and metrics. It authenticates a request by its headers and checks
// the residency before it reads the body.
package entry
