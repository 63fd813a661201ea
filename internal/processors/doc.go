// Package processors lets a process run on one processor while it has little to do.
// On several, each wake-up of an idle Go process makes further threads look for work,
// which costs more than the work itself.
package processors
