package controlplane

import (
	"cmp"
	"slices"

	"geraniumturn.example/geraniumturn/internal/clock"
	"geraniumturn.example/geraniumturn/internal/document"
	"geraniumturn.example/geraniumturn/internal/fleetsync/syncpb"
	"geraniumturn.example/geraniumturn/internal/rendezvous"
)

// maxAddresses bounds the addresses in a response of the directory.
const maxAddresses = 64

// EntryAddresses returns the addresses of the entry hosts that a caller in a region
// should use for a host name.
func (s *Service) EntryAddresses(name, region string) []string {
	var routes []*document.Route
	if index := s.index(); index != nil {
		routes = index.RoutesForHost(name)
	}
	return limitAddresses(chooseEntries(s.Presence.Entries(clock.SinceBoot()), region, routes), s.Owners.Self)
}

// limitAddresses returns maxAddresses of the addresses. Callers leave hosts that a later
// response lacks, so the choice of a control host is always the same; others choose
// others, so that few hosts of a large region are left without callers.
func limitAddresses(addresses []string, control string) []string {
	if len(addresses) <= maxAddresses {
		return addresses
	}
	slices.SortFunc(addresses, func(a, b string) int {
		return cmp.Compare(rendezvous.Weight(control, b), rendezvous.Weight(control, a))
	})
	return addresses[:maxAddresses]
}

// decodedDocument caches the decoded document of a version. index is nil if it cannot
// be decoded.
type decodedDocument struct {
	version uint64
	index   *document.Index
}

// index returns the index of the stored document, or nil. The document is decoded once
// per version: callers query the directory every few seconds, and a document may have
// several megabytes.
func (s *Service) index() *document.Index {
	state, _ := s.Document.State()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.decoded.version != state.Version {
		s.decoded = decodedDocument{version: state.Version}
		d, err := s.Decoder.Decode(state.Content)
		if err != nil {
			s.Logger.WithField("version", state.Version).WithError(err).Warn("stored document not read")
			return nil
		}
		s.decoded.index = document.NewIndex(d)
	}
	return s.decoded.index
}

// chooseEntries returns the entry hosts of the caller's region. If there are none, it
// returns hosts of other regions that are home regions of every route of the host name
// that needs a key, because request bodies must stay in the home regions. Hosts that
// are starting or draining are returned only if none is serving, and hosts without a path
// to targets only if they are most of the region: they serve through other hosts.
func chooseEntries(hosts []*syncpb.EntryHost, region string, routes []*document.Route) []string {
	for _, serving := range []bool{true, false} {
		var preferred, detached, fallback []string
		for _, h := range hosts {
			switch {
			case h.GetServing() != serving:
			case h.GetRegion() == region && h.GetDetached():
				detached = append(detached, h.GetFront())
			case h.GetRegion() == region:
				preferred = append(preferred, h.GetFront())
			case allRoutesAllow(routes, h.GetRegion()):
				fallback = append(fallback, h.GetFront())
			}
		}
		if len(preferred) < len(detached) {
			preferred = append(preferred, detached...) // too few to take over all callers
		}
		if len(preferred) == 0 {
			preferred = fallback
		}
		if len(preferred) > 0 {
			return preferred
		}
	}
	return nil
}

// allRoutesAllow reports whether all routes that need a key may be served in a region.
// Public routes are ignored: the public routes of a host name may have disjoint home
// regions.
func allRoutesAllow(routes []*document.Route, region string) bool {
	return !slices.ContainsFunc(routes, func(r *document.Route) bool {
		return !r.Public && !document.AllowsRegion(r, nil, region)
	})
}
