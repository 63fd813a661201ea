package core

import "fmt"

// entryLog is the retained part of the log, which starts after the index base.
type entryLog struct {
	base, baseTerm uint64
	entries        []Entry
}

func (l *entryLog) last() uint64 { return l.base + uint64(len(l.entries)) }

// term returns the term of the entry at the index, if that entry is retained or
// is the base.
func (l *entryLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.base:
		return l.baseTerm, true
	case index < l.base || index > l.last():
		return 0, false
	}
	return l.entries[index-l.base-1].Term, true
}

func (l *entryLog) lastTerm() uint64 {
	t, _ := l.term(l.last())
	return t
}

// slice returns the entries from first to last, both included.
func (l *entryLog) slice(first, last uint64) []Entry {
	if first > last {
		return nil
	}
	return l.entries[first-l.base-1 : last-l.base : last-l.base]
}

func (l *entryLog) append(e Entry) {
	if e.Index != l.last()+1 || e.Term < l.lastTerm() {
		panic(fmt.Sprintf("control: log matching: entry %d of term %d appended after entry %d of term %d", e.Index, e.Term, l.last(), l.lastTerm()))
	}
	l.entries = append(l.entries, e)
}

// truncate removes all entries at or after the index.
func (l *entryLog) truncate(from uint64) {
	kept := l.entries[:from-l.base-1]
	l.entries = append(make([]Entry, 0, len(kept)+1), kept...)
}

// compact removes all entries up to and including the index.
func (l *entryLog) compact(index uint64) {
	if index <= l.base {
		return
	}
	term, ok := l.term(index)
	if !ok {
		panic(fmt.Sprintf("control: compaction to %d after the last entry %d", index, l.last()))
	}
	l.entries = append([]Entry(nil), l.entries[index-l.base:]...)
	l.base, l.baseTerm = index, term
}
