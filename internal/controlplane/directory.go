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
	var routes []*document.Route
	if index := s.index(); index != nil {
		routes = index.RoutesForHost(name)
	}
	return chooseEntries(s.Presence.Entries(clock.SinceBoot()), region, routes)
}

// decoded is the document of one version; index is nil when it cannot be read.
type decoded struct {
	version uint64
	index   *document.Index
}

// index returns the stored document, or nil. It is decoded once a version: callers
// ask the directory every few seconds, and a document may have megabytes.
func (s *Service) index() *document.Index {
	state, _ := s.Document.State()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.decoded.version != state.Version {
		s.decoded = decoded{version: state.Version}
		d, err := s.Decoder.Decode(state.Content)
		if err != nil {
			s.Logger.WithField("version", state.Version).WithError(err).Warn("stored document not read")
			return nil
		}
		s.decoded.index = document.NewIndex(d)
	}
	return s.decoded.index
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
		return !r.Public && !document.AllowsRegion(r, nil, region)
	})
}
