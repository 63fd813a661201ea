package placement

import "time"

// source is a target and how many leading tokens of a prompt it has.
type fetchSource struct {
	target *Target
	tokens int64
}

// sources are the two targets that have most of a prompt; of equal ones the first. A
// request may go to one of them and fetch from the other, so two are enough for any
// choice of the target.
type fetchSources struct{ best, second fetchSource }

func (s *fetchSources) add(t *Target, tokens int64) {
	switch {
	case tokens > s.best.tokens:
		s.best, s.second = fetchSource{t, tokens}, s.best
	case tokens > s.second.tokens:
		s.second = fetchSource{t, tokens}
	}
}

// besides returns the one with most of the prompt that is not t. Its target is nil
// when no other one has any.
func (s fetchSources) excluding(t *Target) fetchSource {
	if s.best.target == t {
		return s.second
	}
	return s.best
}

// sources finds the targets of this and of other regions that parts of a prompt may
// be fetched from.
func (p *Placer) findSources(now time.Duration, r *Request) fetchSources {
	var found fetchSources
	if len(r.keys) == 0 {
		return found
	}
	for _, targets := range [][]*Target{p.byService[r.Service], p.remoteByService[r.Service]} {
		for _, t := range targets {
			if t.cache == nil || t.Suspect || now < t.ejectedUntil || t.stalled(now) || t.Remote && p.Reachable != nil && !p.Reachable(now, t.Region) {
				continue
			}
			found.add(t, t.cache.cachedTokens(r.keys, r.Segments))
		}
	}
	return found
}
