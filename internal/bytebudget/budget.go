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
	owner  Owner
	held   int64
	// doubled means that the owner accounts for a copy, until the next Resize.
	doubled bool
}

// Owner accounts for what a buffer holds beyond Free, besides its budget. Resize reports false,
// and changes nothing, if the buffer may not have the size.
type Owner interface{ Resize(size int64) bool }

// Buffer returns the part of a new, empty buffer. Release must be called.
func (b *Budget) Buffer() Buffer { return Buffer{budget: b} }

// BufferOf returns the part of a new, empty buffer that an owner accounts for too.
func (b *Budget) BufferOf(o Owner) Buffer { return Buffer{budget: b, owner: o} }

// BufferOf returns the part of a new, empty buffer that only an owner accounts for.
func BufferOf(o Owner) Buffer { return Buffer{owner: o} }

// Resize sets the size of the buffer, in bytes. It reports false, and keeps what the buffer
// holds, if the budget does not suffice.
func (b *Buffer) Resize(size int) bool {
	if b.budget == nil && b.owner == nil {
		return true
	}
	wanted := max(0, int64(size)-Free)
	added := wanted - b.held
	if b.owner != nil && (added != 0 || b.doubled) && !b.owner.Resize(wanted) {
		return false
	}
	b.doubled = false
	if b.budget == nil {
		b.held = wanted
		return true
	}
	if !b.budget.add(added) {
		if b.owner != nil {
			b.owner.Resize(b.held) // less than before
		}
		return false
	}
	b.held += added
	return true
}

// add changes the bytes in use. It reports false, and changes nothing, if more would be in use
// than the limit.
func (b *Budget) add(bytes int64) bool {
	for {
		used := b.used.Load()
		if bytes > 0 && used+bytes > b.limit() {
			return false
		}
		if b.used.CompareAndSwap(used, used+bytes) {
			return true
		}
	}
}

// Copy makes an owner account for a second buffer of a size until the next Resize. It reports
// false, and changes nothing, if there is no memory for it.
func (b *Buffer) Copy(size int) bool {
	if b.owner == nil {
		return true
	}
	ok := b.owner.Resize(b.held + int64(size))
	b.doubled = b.doubled || ok
	return ok
}

// Release gives back what the buffer holds, whatever its owner says.
func (b *Buffer) Release() {
	if b.owner != nil && (b.held > 0 || b.doubled) {
		b.owner.Resize(0)
	}
	if b.budget != nil {
		b.budget.used.Add(-b.held)
	}
	b.held, b.doubled = 0, false
}

// Used returns the number of bytes that buffers hold beyond Free.
func (b *Budget) Used() int64 { return b.used.Load() }
