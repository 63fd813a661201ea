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

// ErrGap means that changes do not start at the index that the copy holds, so
// that it must pull.
var ErrGap = errors.New("fleet: changes do not follow the state held")

// ErrBadChange means that a change gives another result than it declares.
var ErrBadChange = errors.New("fleet: change cannot be applied")

// applyChange returns the state after the change. The given state stays valid:
// list items are shared, and lists are only appended to or copied.
func applyChange(s *fleetpb.State, c *fleetpb.Change) (*fleetpb.State, error) {
	if c.GetPrevious() != s.Index || c.GetIndex() <= s.Index {
		return nil, fmt.Errorf("%w: change leads from %d to %d, state is at %d", ErrGap, c.GetPrevious(), c.GetIndex(), s.Index)
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
	if len(history) >= maxHistory {
		history = history[len(history)-maxHistory+1:]
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

// diffLines returns edits that turn one text into the other. Lines that occur
// once in both texts and keep their order anchor the comparison, which suits
// rules files, whose lines are nearly all different.
func diffLines(before, after string) []*fleetpb.Edit {
	a, b := strings.Split(before, "\n"), strings.Split(after, "\n")
	anchors := append(commonLines(a, b), [2]int{len(a), len(b)})
	var out []*fleetpb.Edit
	i, j := 0, 0
	for _, at := range anchors {
		for i < at[0] && j < at[1] && a[i] == b[j] {
			i, j = i+1, j+1
		}
		endA, endB := at[0], at[1]
		for endA > i && endB > j && a[endA-1] == b[endB-1] {
			endA, endB = endA-1, endB-1
		}
		if endA > i || endB > j {
			out = append(out, &fleetpb.Edit{Line: uint32(i), Remove: uint32(endA - i), Insert: b[j:endB]})
		}
		i, j = at[0], at[1]
	}
	return out
}

// commonLines returns the longest list of position pairs, rising in both
// texts, of lines that occur exactly once in each.
func commonLines(a, b []string) [][2]int {
	type seen struct{ inA, inB, a, b int }
	lines := make(map[string]*seen, len(a))
	for i, l := range a {
		if lines[l] == nil {
			lines[l] = &seen{}
		}
		lines[l].inA++
		lines[l].a = i
	}
	for j, l := range b {
		if s := lines[l]; s != nil {
			s.inB++
			s.b = j
		}
	}
	var pairs [][2]int
	for i, l := range a {
		if s := lines[l]; s.inA == 1 && s.inB == 1 {
			pairs = append(pairs, [2]int{i, s.b})
		}
	}
	return longestRising(pairs)
}

// longestRising returns the longest subsequence whose second values rise.
func longestRising(pairs [][2]int) [][2]int {
	var tails []int // index into pairs of the smallest tail for each length
	from := make([]int, len(pairs))
	for i, p := range pairs {
		n := sort.Search(len(tails), func(k int) bool { return pairs[tails[k]][1] >= p[1] })
		from[i] = -1
		if n > 0 {
			from[i] = tails[n-1]
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
	for i := tails[len(tails)-1]; i >= 0; i = from[i] {
		out = append(out, pairs[i])
	}
	slices.Reverse(out)
	return out
}

func applyEdits(text string, edits []*fleetpb.Edit) (string, error) {
	lines := strings.Split(text, "\n")
	out := make([]string, 0, len(lines))
	at := 0
	for _, e := range edits {
		start, end := uint64(e.GetLine()), uint64(e.GetLine())+uint64(e.GetRemove())
		if start < uint64(at) || end > uint64(len(lines)) {
			return "", fmt.Errorf("%w: edit of lines %d to %d in a text of %d lines", ErrBadChange, start, end, len(lines))
		}
		out = append(out, lines[at:start]...)
		out = append(out, e.GetInsert()...)
		at = int(end)
	}
	return strings.Join(append(out, lines[at:]...), "\n"), nil
}

const (
	// maxJournal and maxJournalBytes bound the changes that a host keeps for
	// others that are behind; with more to send, the whole state is smaller.
	maxJournal      = 1024
	maxJournalBytes = 512 << 10
)

// journal holds the last changes, each following the one before.
type journal struct {
	changes []*fleetpb.Change
	bytes   int
}

func (j *journal) add(c *fleetpb.Change) {
	j.changes = append(j.changes, c)
	j.bytes += proto.Size(c)
	for len(j.changes) > maxJournal || (j.bytes > maxJournalBytes && len(j.changes) > 1) {
		j.bytes -= proto.Size(j.changes[0])
		j.changes = j.changes[1:]
	}
}

// since returns what a copy at the index lacks of the state.
func (j *journal) since(index uint64, state *fleetpb.State) *fleetpb.PullResponse {
	if index >= state.Index {
		return &fleetpb.PullResponse{}
	}
	at := sort.Search(len(j.changes), func(i int) bool { return j.changes[i].Previous >= index })
	if at < len(j.changes) && j.changes[at].Previous == index {
		return &fleetpb.PullResponse{Changes: slices.Clone(j.changes[at:])}
	}
	return &fleetpb.PullResponse{State: state}
}
