package controlplane

import (
	"slices"

	"geraniumturn.example/geraniumturn/internal/clock"
	"geraniumturn.example/geraniumturn/internal/document"
	"geraniumturn.example/geraniumturn/internal/fleetsync/syncpb"
)

// maxAddresses bounds an answer of the directory.
const maxAddresses = 64

// EntryAddresses returns the addresses of the entry hosts that a caller of the
// region should use for a host name.
func (s *Service) EntryAddresses(name, region string) []string {
	state, _ := s.Document.State()
	var routes []*document.Route
	if d, err := s.Decoder.Decode(state.Content); err == nil {
		routes = document.NewIndex(d).HostRoutes(name)
	}
	return chooseEntries(s.Presence.Entries(clock.SinceBoot()), region, routes)
}

// chooseEntries prefers hosts of the caller's region. Hosts of another region are
// named only if it is home to every route of the name that needs a key, because the
// body of a request must not go elsewhere. Hosts that start or drain are better than
// no answer.
func chooseEntries(hosts []*syncpb.EntryHost, region string, routes []*document.Route) []string {
	for _, serving := range []bool{true, false} {
		var own, others []string
		for _, h := range hosts {
			switch {
			case h.GetServing() != serving:
			case h.GetRegion() == region:
				own = append(own, h.GetFront())
			case homeToAll(routes, h.GetRegion()):
				others = append(others, h.GetFront())
			}
		}
		if len(own) == 0 {
			own = others
		}
		if len(own) > 0 {
			return own[:min(len(own), maxAddresses)]
		}
	}
	return nil
}

// homeToAll reports whether all routes that need a key may be served in a region.
// Public routes do not count: those of one name may have homes that contradict.
func homeToAll(routes []*document.Route, region string) bool {
	return !slices.ContainsFunc(routes, func(r *document.Route) bool {
		return !r.Public && !document.Allows(r, nil, region)
	})
}
