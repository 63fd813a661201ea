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
	var homes [][]string
	if d, err := s.Decoder.Decode(state.Content); err == nil {
		for _, r := range document.NewIndex(d).HostRoutes(name) {
			homes = append(homes, r.Homes)
		}
	}
	return chooseEntries(s.Presence.Entries(clock.SinceBoot()), region, homes)
}

// chooseEntries prefers hosts of the caller's region. When there is none, a body
// may only go to regions that are home to every route of the name; without such a
// host every region is better than none.
func chooseEntries(hosts []*syncpb.EntryHost, region string, homes [][]string) []string {
	choose := func(allowed func(*syncpb.EntryHost) bool) []string {
		var out []string
		for _, h := range hosts {
			if h.GetServing() && allowed(h) && len(out) < maxAddresses {
				out = append(out, h.GetFront())
			}
		}
		return out
	}
	if own := choose(func(h *syncpb.EntryHost) bool { return h.GetRegion() == region }); len(own) > 0 {
		return own
	}
	atHome := choose(func(h *syncpb.EntryHost) bool {
		return !slices.ContainsFunc(homes, func(regions []string) bool {
			return len(regions) > 0 && !slices.Contains(regions, h.GetRegion())
		})
	})
	if len(atHome) > 0 {
		return atHome
	}
	return choose(func(*syncpb.EntryHost) bool { return true })
}
