// Package processors adjusts GOMAXPROCS to the load: a process with little to do runs
// on one processor. With several, each wake-up of an idle Go process makes more threads
// search for runnable goroutines, which costs more than the work itself.
package processors
