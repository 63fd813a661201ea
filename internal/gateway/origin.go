package gateway

import (
	"fmt"

	"geraniumturn.example/geraniumturn/internal/origins"
	"geraniumturn.example/geraniumturn/internal/refusal"
)

// checkOrigin runs before the first event, or the end, of an attempt is written. The first attempt
// that sends an event binds the stream to its software; a later one must have the same.
func (g *Gateway) checkOrigin(x *requestState, s *sendAttempt) error {
	if s.originChecked {
		return nil
	}
	s.originChecked = true
	known := s.softwareKnown && g.softwareUnchanged(s)
	switch {
	case x.origin == nil && known:
		x.bindOrigin(origins.Origin{Service: x.service, Software: s.software})
	case x.origin == nil: // the stream is sent, but cannot be resumed
	case !known || s.software != x.origin.Software:
		return &attemptError{ran: refusal.Unknown, err: fmt.Errorf("target %s has software %q (known: %v), the stream began on %q", s.target, s.software, known, x.origin.Software)}
	}
	return nil
}

// bindOrigin restricts all further attempts of the request to the software that began its
// stream.
func (x *requestState) bindOrigin(o origins.Origin) {
	x.origin = &o
	x.service = o.Service
	x.placementRequest.Service, x.placementRequest.Software = o.Service, &o.Software
}

// softwareUnchanged reports whether the target is still the process that was chosen. A
// target that starts again under its id may have other software.
func (g *Gateway) softwareUnchanged(s *sendAttempt) bool {
	if s.forwarded {
		return true // the other host has checked it
	}
	record, ok := g.Table.Get(s.target)
	return ok && record.Software == s.software && record.StartMillis == s.startMillis
}
