package placement

import "time"

// source is a target and how many leading tokens of a prompt it has.
type source struct {
	target *Target
	tokens int64
}

// sources are the two targets that have most of a prompt; of equal ones the first. A
// request may go to one of them and fetch from the other, so two are enough for any
// choice of the target.
type sources struct{ best, second source }

func (s *sources) add(t *Target, tokens int64) {
	switch {
	case tokens > s.best.tokens:
		s.best, s.second = source{t, tokens}, s.best
	case tokens > s.second.tokens:
		s.second = source{t, tokens}
	}
}

// besides returns the one with most of the prompt that is not t. Its target is nil
// when no other one has any.
func (s sources) besides(t *Target) source {
	if s.best.target == t {
		return s.second
	}
	return s.best
}

// sources finds the targets of this and of other regions that parts of a prompt may
// be fetched from.
func (p *Placer) sources(now time.Duration, r *Request) sources {
	var out sources
	if len(r.keys) == 0 {
		return out
	}
	for _, list := range [][]*Target{p.byService[r.Service], p.remote[r.Service]} {
		for _, t := range list {
			if t.cache == nil || t.Suspect || now < t.ejected || t.stalled(now) || t.Remote && p.Reachable != nil && !p.Reachable(now, t.Region) {
				continue
			}
			out.add(t, t.cache.hit(r.keys, r.Segments))
		}
	}
	return out
}
