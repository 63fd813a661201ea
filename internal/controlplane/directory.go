package controlplane

import (
	"cmp"

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

// chooseEntries prefers hosts of the caller's region. When there is none it names
// the hosts of the regions that are home to most routes of the name: those that
// need a key first, because a body must not go to another region.
func chooseEntries(hosts []*syncpb.EntryHost, region string, routes []*document.Route) []string {
	best := homeScore{}
	var own, atHome []string
	for _, h := range hosts {
		if !h.GetServing() {
			continue
		}
		if h.GetRegion() == region {
			own = append(own, h.GetFront())
		}
		score := scoreHome(routes, h.GetRegion())
		if score.compare(best) > 0 || atHome == nil {
			best, atHome = score, nil
		}
		if score.compare(best) == 0 {
			atHome = append(atHome, h.GetFront())
		}
	}
	if len(own) == 0 {
		own = atHome
	}
	return own[:min(len(own), maxAddresses)]
}

// homeScore counts the routes that may be served in a region.
type homeScore struct{ keyed, public int }

func scoreHome(routes []*document.Route, region string) homeScore {
	var out homeScore
	for _, r := range routes {
		switch {
		case !document.Allows(r, nil, region):
		case r.Public:
			out.public++
		default:
			out.keyed++
		}
	}
	return out
}

func (a homeScore) compare(b homeScore) int {
	return cmp.Or(cmp.Compare(a.keyed, b.keyed), cmp.Compare(a.public, b.public))
}
