// Package bytebudget bounds the memory that all requests of a process together use for what
// others send to it: many buffers that are bounded one by one may still be too much. It does
// no I/O.
package bytebudget

import "sync/atomic"

const (
	// Free is the size up to which a buffer needs no part of the budget, in bytes. Usual
	// responses and bodies are not much larger.
	Free = 16 << 10
	// DefaultLimit is the sum of what buffers may hold beyond Free, in bytes.
	DefaultLimit = 8 << 20
)

// Budget is the number of bytes that the buffers of a process may hold beyond Free each. It is
// safe for concurrent use.
type Budget struct {
	// Limit is the sum in bytes; 0 means DefaultLimit. It must not change while buffers exist.
	Limit int64
	used  atomic.Int64
}

func (b *Budget) limit() int64 {
	if b.Limit > 0 {
		return b.Limit
	}
	return DefaultLimit
}

// Buffer is the part of a budget that one buffer holds. The zero value has no limit.
type Buffer struct {
	budget *Budget
	held   int64
}

// Buffer returns the part of a new, empty buffer. Release must be called.
func (b *Budget) Buffer() Buffer { return Buffer{budget: b} }

// Resize sets the size of the buffer, in bytes. It reports false, and keeps what the buffer
// holds, if the budget does not suffice.
func (b *Buffer) Resize(size int) bool {
	if b.budget == nil {
		return true
	}
	added := max(0, int64(size)-Free) - b.held
	if used := b.budget.used.Add(added); added > 0 && used > b.budget.limit() {
		b.budget.used.Add(-added)
		return false
	}
	b.held += added
	return true
}

// Release gives back what the buffer holds.
func (b *Buffer) Release() { b.Resize(0) }

// Used returns the number of bytes that buffers hold beyond Free.
func (b *Budget) Used() int64 { return b.used.Load() }
