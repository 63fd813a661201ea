// Package routing decides where an attempt goes: to a target of this data
// centre, or to a host of another one that residency and reach allow.
package routing
