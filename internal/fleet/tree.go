package fleet

import "sort"

// FanOut is how many hosts a host pushes a change to.
const FanOut = 3

// TreeNode is a host's position for publication.
type TreeNode struct{ Name, DataCentre string }

// Children returns the hosts that a host pushes to in the tree of a push. All
// hosts derive the same tree from the origin and the list of live hosts: the
// origin's data centre first, then data centre by data centre. A host with
// another list causes a gap or a repeat, which pulls and indexes repair.
func Children(origin, self string, hosts []TreeNode) []string {
	home := ""
	for _, h := range hosts {
		if h.Name == origin {
			home = h.DataCentre
		}
	}
	order := append([]TreeNode(nil), hosts...)
	rank := func(p TreeNode) int {
		switch {
		case p.Name == origin:
			return 0
		case p.DataCentre == home:
			return 1
		}
		return 2
	}
	sort.Slice(order, func(i, j int) bool {
		a, b := order[i], order[j]
		if rank(a) != rank(b) {
			return rank(a) < rank(b)
		}
		if a.DataCentre != b.DataCentre {
			return a.DataCentre < b.DataCentre
		}
		return a.Name < b.Name
	})
	var out []string
	for i, p := range order {
		if p.Name != self {
			continue
		}
		for k := FanOut*i + 1; k <= FanOut*i+FanOut && k < len(order); k++ {
			out = append(out, order[k].Name)
		}
	}
	return out
}
