// Package routing chooses where each attempt of a request runs: on a target of the
// local data centre, or on a host of another data centre that residency and reach
// allow.
package routing
