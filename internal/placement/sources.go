package placement

import "time"

// fetchSource is a target with the number of leading prompt tokens in its cache.
type fetchSource struct {
	target *Target
	tokens int64
}

// fetchSources are the two targets with the longest cached prefix of a prompt; of
// targets with equal prefixes the first ones added. A request may be sent to one of
// them and fetch from the other, so two are enough for any choice of the target.
type fetchSources struct{ best, second fetchSource }

func (s *fetchSources) add(t *Target, tokens int64) {
	switch {
	case tokens > s.best.tokens:
		s.best, s.second = fetchSource{t, tokens}, s.best
	case tokens > s.second.tokens:
		s.second = fetchSource{t, tokens}
	}
}

// excluding returns the target with the longest cached prefix other than t. The result
// has a nil target if no other target has any of the prompt.
func (s *fetchSources) excluding(t *Target) fetchSource {
	if s == nil {
		return fetchSource{}
	}
	if s.best.target == t {
		return s.second
	}
	return s.best
}

// findSources returns the targets of this and of other regions from which cached
// segments of a prompt may be fetched, by the version of their software: a target cannot
// use what another version has cached.
func (p *Placer) findSources(now time.Duration, r *Request) map[string]*fetchSources {
	found := map[string]*fetchSources{}
	if len(r.keys) == 0 {
		return found
	}
	for _, targets := range [][]*Target{p.byService[r.Service], p.remoteByService[r.Service]} {
		for _, t := range targets {
			if t.cache == nil || t.Suspect || t.availability.leaving || now < t.ejectedUntil || t.stalled(now) || t.Remote && p.Reachable != nil && !p.Reachable(now, t.Region) {
				continue
			}
			if found[t.Software] == nil {
				found[t.Software] = &fetchSources{}
			}
			found[t.Software].add(t, t.cache.cachedTokens(r.keys, r.Segments))
		}
	}
	return found
}
