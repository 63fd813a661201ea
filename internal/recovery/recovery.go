// Package recovery limits an unexpected error to the request, the call or the exchange in
// which it occurs. It is not used for the replicated log and what it is applied to: a
// panic may leave that state half changed, so it ends the process, which loads the state
// from disk again.
package recovery

import (
	"errors"
	"fmt"
	"runtime/debug"
)

// ErrPanic is the error of a function that panicked.
var ErrPanic = errors.New("recovery: panic")

// Do calls f. A panic of f becomes an error with the stack.
func Do(f func() error) (err error) {
	defer func() {
		if v := recover(); v != nil {
			err = fmt.Errorf("%w: %v\n%s", ErrPanic, v, debug.Stack())
		}
	}()
	return f()
}
