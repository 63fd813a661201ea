// Package targets keeps the targets that announced themselves: what they
// serve, how loaded they report to be, and whether they may get new work.
package targets
