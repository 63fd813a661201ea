package fleet

import (
	"errors"
	"fmt"
	"slices"
	"sort"
	"strings"

	"google.golang.org/protobuf/proto"

	"geraniumturn.example/geraniumturn/internal/fleet/fleetpb"
)

// ErrGap means that changes do not start at the current index of the replica, so that
// it must pull.
var ErrGap = errors.New("fleet: changes do not start at the current index")

// ErrBadChange means that a change is invalid, or that its result differs from the
// revision or digest that it declares.
var ErrBadChange = errors.New("fleet: change cannot be applied")

// applyChange returns the state after the change. The given state remains valid: both
// states share list elements, and lists are only appended to or copied.
func applyChange(s *fleetpb.State, c *fleetpb.Change) (*fleetpb.State, error) {
	if c.GetPrevious() != s.Index || c.GetIndex() <= s.Index {
		return nil, fmt.Errorf("%w: change is from index %d to %d, state is at index %d", ErrGap, c.GetPrevious(), c.GetIndex(), s.Index)
	}
	next := &fleetpb.State{
		Index: c.Index, Revision: s.Revision, Rules: s.Rules, Keys: s.Keys, Withdrawn: s.Withdrawn,
		History: s.History, Hosts: s.Hosts, QuotaEpoch: s.QuotaEpoch, RemovedHosts: s.RemovedHosts,
	}
	switch k := c.Kind.(type) {
	case *fleetpb.Change_Rules:
		if err := applyRulesChange(next, k.Rules); err != nil {
			return nil, err
		}
	case *fleetpb.Change_Key:
		next.Keys = append(next.Keys, k.Key)
	case *fleetpb.Change_Withdrawn:
		next.Withdrawn = append(next.Withdrawn, k.Withdrawn)
	case *fleetpb.Change_Host:
		next.Hosts = append(withoutHost(s.Hosts, k.Host.GetName()), k.Host)
		next.RemovedHosts = slices.DeleteFunc(slices.Clone(s.RemovedHosts), func(n string) bool { return n == k.Host.GetName() })
		next.QuotaEpoch = c.Index
	case *fleetpb.Change_RemovedHost:
		next.Hosts = withoutHost(s.Hosts, k.RemovedHost)
		if !slices.Contains(s.RemovedHosts, k.RemovedHost) {
			next.RemovedHosts = append(slices.Clone(s.RemovedHosts), k.RemovedHost)
		}
		next.QuotaEpoch = c.Index
	default:
		return nil, fmt.Errorf("%w: unknown kind at index %d", ErrBadChange, c.Index)
	}
	return next, nil
}

func applyRulesChange(next *fleetpb.State, c *fleetpb.RulesChange) error {
	text, err := applyEdits(next.Rules, c.GetEdits())
	if err != nil {
		return err
	}
	if digest := contentDigest(text); digest != c.GetRevision().GetDigest() {
		return fmt.Errorf("%w: rules have digest %s instead of %s", ErrBadChange, digest, c.GetRevision().GetDigest())
	}
	if c.Revision.Number != next.Revision+1 {
		return fmt.Errorf("%w: revision %d does not follow %d", ErrBadChange, c.Revision.Number, next.Revision)
	}
	next.Rules, next.Revision, next.QuotaEpoch = text, c.Revision.Number, next.Index
	history := next.History
	if len(history) >= maxHistoryRevisions {
		history = history[len(history)-maxHistoryRevisions+1:]
	}
	next.History = append(history, c.Revision)
	return nil
}

func withoutHost(hosts []*fleetpb.Host, name string) []*fleetpb.Host {
	out := make([]*fleetpb.Host, 0, len(hosts)+1)
	for _, h := range hosts {
		if h.Name != name {
			out = append(out, h)
		}
	}
	return out
}

// diffLines returns the edits that turn one text into the other, as a patience diff:
// lines that occur exactly once in both texts, in the same order, anchor the
// comparison. This suits rules files, in which nearly all lines are unique.
func diffLines(before, after string) []*fleetpb.Edit {
	a, b := strings.Split(before, "\n"), strings.Split(after, "\n")
	anchors := append(uniqueCommonLines(a, b), [2]int{len(a), len(b)})
	var out []*fleetpb.Edit
	i, j := 0, 0
	for _, anchor := range anchors {
		for i < anchor[0] && j < anchor[1] && a[i] == b[j] {
			i, j = i+1, j+1
		}
		endA, endB := anchor[0], anchor[1]
		for endA > i && endB > j && a[endA-1] == b[endB-1] {
			endA, endB = endA-1, endB-1
		}
		if endA > i || endB > j {
			out = append(out, &fleetpb.Edit{Line: uint32(i), Remove: uint32(endA - i), Insert: b[j:endB]})
		}
		i, j = anchor[0], anchor[1]
	}
	return out
}

// uniqueCommonLines returns the index pairs of lines that occur exactly once in each
// text: the longest sequence of them that is increasing in both texts.
func uniqueCommonLines(a, b []string) [][2]int {
	type occurrences struct{ countA, countB, indexA, indexB int }
	lines := make(map[string]*occurrences, len(a))
	for i, l := range a {
		if lines[l] == nil {
			lines[l] = &occurrences{}
		}
		lines[l].countA++
		lines[l].indexA = i
	}
	for j, l := range b {
		if s := lines[l]; s != nil {
			s.countB++
			s.indexB = j
		}
	}
	var pairs [][2]int
	for i, l := range a {
		if s := lines[l]; s.countA == 1 && s.countB == 1 {
			pairs = append(pairs, [2]int{i, s.indexB})
		}
	}
	return longestIncreasing(pairs)
}

// longestIncreasing returns the longest subsequence whose second values increase.
func longestIncreasing(pairs [][2]int) [][2]int {
	var tails []int // index into pairs of the smallest tail for each length
	predecessors := make([]int, len(pairs))
	for i, p := range pairs {
		n := sort.Search(len(tails), func(k int) bool { return pairs[tails[k]][1] >= p[1] })
		predecessors[i] = -1
		if n > 0 {
			predecessors[i] = tails[n-1]
		}
		if n == len(tails) {
			tails = append(tails, i)
		} else {
			tails[n] = i
		}
	}
	if len(tails) == 0 {
		return nil
	}
	var out [][2]int
	for i := tails[len(tails)-1]; i >= 0; i = predecessors[i] {
		out = append(out, pairs[i])
	}
	slices.Reverse(out)
	return out
}

func applyEdits(text string, edits []*fleetpb.Edit) (string, error) {
	lines := strings.Split(text, "\n")
	out := make([]string, 0, len(lines))
	consumed := 0
	for _, e := range edits {
		start, end := uint64(e.GetLine()), uint64(e.GetLine())+uint64(e.GetRemove())
		if start < uint64(consumed) || end > uint64(len(lines)) {
			return "", fmt.Errorf("%w: edit of lines %d to %d in a text of %d lines", ErrBadChange, start, end, len(lines))
		}
		out = append(out, lines[consumed:start]...)
		out = append(out, e.GetInsert()...)
		consumed = int(end)
	}
	return strings.Join(append(out, lines[consumed:]...), "\n"), nil
}

const (
	// maxBufferedChanges and maxBufferedBytes bound the changes that a host keeps for
	// hosts that are behind. A host that is further behind gets the full state, which is
	// smaller than the missing changes would be.
	maxBufferedChanges = 1024
	maxBufferedBytes   = 512 << 10
)

// changeBuffer holds the most recent changes. Each one starts at the index of the one
// before it.
type changeBuffer struct {
	changes []*fleetpb.Change
	bytes   int
}

func (b *changeBuffer) add(c *fleetpb.Change) {
	b.changes = append(b.changes, c)
	b.bytes += proto.Size(c)
	for len(b.changes) > maxBufferedChanges || (b.bytes > maxBufferedBytes && len(b.changes) > 1) {
		b.bytes -= proto.Size(b.changes[0])
		b.changes = b.changes[1:]
	}
}

// since returns the changes from the index to the state, or the full state if the
// changes are no longer buffered.
func (b *changeBuffer) since(index uint64, state *fleetpb.State) *fleetpb.PullResponse {
	if index >= state.Index {
		return &fleetpb.PullResponse{}
	}
	first := sort.Search(len(b.changes), func(i int) bool { return b.changes[i].Previous >= index })
	if first < len(b.changes) && b.changes[first].Previous == index {
		return &fleetpb.PullResponse{Changes: slices.Clone(b.changes[first:])}
	}
	return &fleetpb.PullResponse{State: state}
}
