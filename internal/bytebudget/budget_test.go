package bytebudget_test

import (
	"sync"
	"sync/atomic"
	"testing"

	"geraniumturn.example/geraniumturn/internal/bytebudget"
)

// Guards against buffers that together exceed the limit, small ones that are refused, and
// parts that are never given back.
func TestBudget(t *testing.T) {
	var budget bytebudget.Budget
	held := int64(0)
	var buffers []*bytebudget.Buffer
	for range 100 {
		b := budget.Buffer()
		buffers = append(buffers, &b)
		for size := bytebudget.Free; size <= 1<<20 && b.Resize(size); size += 64 << 10 {
		}
		held = max(held, budget.Used())
		small := budget.Buffer()
		if !small.Resize(bytebudget.Free) {
			t.Fatal("a small buffer is refused")
		}
	}
	if held > bytebudget.DefaultLimit || held < bytebudget.DefaultLimit-(64<<10) {
		t.Errorf("buffers held %d bytes of %d", held, bytebudget.DefaultLimit)
	}
	for _, b := range buffers {
		b.Release()
		b.Release()
	}
	if n := budget.Used(); n != 0 {
		t.Errorf("%d bytes are still held", n)
	}
}

type refusingOwner struct{ refuses bool }

func (o *refusingOwner) Resize(int64) bool { return !o.refuses }

// Load: bodies whose connections lose their place. Guards against a budget that never gets
// their part back.
func TestReleaseAgainstOwner(t *testing.T) {
	b, o := &bytebudget.Budget{Limit: 1 << 20}, &refusingOwner{}
	p := b.BufferOf(o)
	if !p.Resize(1 << 20) {
		t.Fatal("no part")
	}
	o.refuses = true
	p.Release()
	p.Release()
	if b.Used() != 0 {
		t.Errorf("%d bytes are left", b.Used())
	}
}

// Guards against a buffer that is refused and counts until it has been: the bytes in use then
// exceed the limit, and another buffer that fits is refused.
func TestRefusedBufferDoesNotCount(t *testing.T) {
	const large, small = 1 << 20, bytebudget.Free + 1<<10
	budget := bytebudget.Budget{Limit: large}
	held := budget.Buffer()
	held.Resize(large)
	var exceeded, refused atomic.Int64
	var work sync.WaitGroup
	for range 4 {
		work.Go(func() {
			for range 50_000 {
				b := budget.Buffer()
				b.Resize(large) // does not fit
				b.Release()
			}
		})
	}
	work.Go(func() {
		for range 200_000 {
			b := budget.Buffer()
			if !b.Resize(small) { // fits
				refused.Add(1)
			}
			if budget.Used() > budget.Limit {
				exceeded.Add(1)
			}
			b.Release()
		}
	})
	work.Wait()
	if exceeded.Load() > 0 || refused.Load() > 0 {
		t.Errorf("%d times more than the limit in use, %d buffers that fit refused", exceeded.Load(), refused.Load())
	}
}
