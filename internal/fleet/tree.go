package fleet

import "sort"

// FanOut is the maximum number of children of a host in the push tree.
const FanOut = 3

// TreeNode is a host in the push tree.
type TreeNode struct{ Name, DataCentre string }

// Children returns the hosts to which self pushes a change that starts at origin.
// All hosts derive the same tree from the origin and the list of live hosts: the
// origin is the root, followed by the hosts of its data centre, then by the other
// data centres one after the other. If the lists of two hosts differ, a host may
// miss a change or receive it twice: it then pulls the missing change, or
// recognises the duplicate by its index.
func Children(origin, self string, hosts []TreeNode) []string {
	originDataCentre := ""
	for _, h := range hosts {
		if h.Name == origin {
			originDataCentre = h.DataCentre
		}
	}
	ordered := append([]TreeNode(nil), hosts...)
	rank := func(h TreeNode) int {
		switch {
		case h.Name == origin:
			return 0
		case h.DataCentre == originDataCentre:
			return 1
		}
		return 2
	}
	sort.Slice(ordered, func(i, j int) bool {
		a, b := ordered[i], ordered[j]
		if rank(a) != rank(b) {
			return rank(a) < rank(b)
		}
		if a.DataCentre != b.DataCentre {
			return a.DataCentre < b.DataCentre
		}
		return a.Name < b.Name
	})
	var out []string
	for i, h := range ordered {
		if h.Name != self {
			continue
		}
		for k := FanOut*i + 1; k <= FanOut*i+FanOut && k < len(ordered); k++ {
			out = append(out, ordered[k].Name)
		}
	}
	return out
}
