package gateway

import (
	"context"
	"fmt"
	"slices"
	"time"

	"geraniumturn.example/geraniumturn/internal/clock"
	"geraniumturn.example/geraniumturn/internal/document"
	"geraniumturn.example/geraniumturn/internal/fleetsync"
	"geraniumturn.example/geraniumturn/internal/origins"
	"geraniumturn.example/geraniumturn/internal/refusal"
)

// checkOrigin runs before the first event, or the end, of an attempt is written. The
// first attempt that sends an event binds the stream to its software; a later one must
// have the same.
func (g *Gateway) checkOrigin(x *requestState, s *sendAttempt) error {
	if s.originChecked {
		return nil
	}
	s.originChecked = true
	if x.origin != nil {
		return g.checkSoftware(x, s)
	}
	if g.softwareCertain(s) { // otherwise the stream is sent, but cannot be resumed
		x.bindOrigin(origins.Origin{Service: x.service, Software: s.software})
		if x.route.Resumable && x.call.ID != "" {
			g.origins.Record(sinceBoot(), origins.KeyOf(x.workspaceName(), x.call.ID), *x.origin)
		}
	}
	return nil
}

// checkSoftware returns an error if the target of an attempt may have other software than
// the one that began the stream.
func (g *Gateway) checkSoftware(x *requestState, s *sendAttempt) error {
	if known := g.softwareCertain(s); x.origin != nil && (!known || s.software != x.origin.Software) {
		return &attemptError{ran: refusal.Unknown, err: fmt.Errorf("target %s has software %q (known: %v), the stream began on %q", s.target, s.software, known, x.origin.Software)}
	}
	return nil
}

func (g *Gateway) softwareCertain(s *sendAttempt) bool {
	return s.softwareKnown && g.softwareUnchanged(s)
}

// OriginClient asks the control hosts for the origin of a stream of a service that has
// lasted for at most window.
type OriginClient interface {
	FindOrigin(ctx context.Context, key origins.Key, service string, window time.Duration) fleetsync.OriginAnswer
}

// How the origin of a stream that its caller resumes was found.
const (
	originOwn     = "own"          // the stream began at this host
	originControl = "control"      // a control host knows it
	originVersion = "only_version" // the service has had one version only
)

const (
	// minStreamWindow is the minimum time for which a stream is assumed to last, over all
	// attempts of its caller; a route's timeout can make it longer.
	minStreamWindow = time.Minute
	// originWait is how long an origin may be on its way from the host where the stream
	// began to the control hosts: an exchange, a relay round and the network.
	originWait         = 500 * time.Millisecond
	originPollInterval = 100 * time.Millisecond
)

// findOrigin binds a stream that its caller resumes to the software that began it. If
// that is not known for certain, it refuses the request.
func (g *Gateway) findOrigin(ctx context.Context, x *requestState) error {
	if x.route.Kind != document.Streaming || x.call.LastEvent == "" {
		return nil
	}
	key := origins.KeyOf(x.workspaceName(), x.call.Resumes)
	window := max(minStreamWindow, 2*x.route.Timeout)
	for began := sinceBoot(); ; {
		if o, known := g.origins.Find(sinceBoot(), key); known {
			return g.resumeOn(x, o, originOwn)
		}
		var answer fleetsync.OriginAnswer
		if g.OriginClient != nil {
			answer = g.OriginClient.FindOrigin(ctx, key, x.service, window)
		}
		switch {
		case answer.Found:
			return g.resumeOn(x, answer.Origin, originControl)
		case answer.Complete && len(answer.Versions) == 1 && len(x.route.Split) == 1 && g.coverAllRegions(answer.Regions):
			return g.resumeOn(x, origins.Origin{Service: x.service, Software: answer.Versions[0]}, originVersion)
		case x.call.Resumes == "" || sinceBoot()-began > originWait || !clock.Sleep(ctx, originPollInterval):
			return refusal.New(refusal.UnknownOrigin, refusal.NotRun, "it is not known which software began the stream")
		}
	}
}

// coverAllRegions reports whether the names include each region of the deployment. The
// control hosts of a region that is out of reach for long are forgotten, while its hosts
// may still serve.
func (g *Gateway) coverAllRegions(names []string) bool {
	for region := range g.allRegions() {
		if !slices.Contains(names, region) {
			return false
		}
	}
	return true
}

// resumeOn binds a stream that its caller resumes to its origin, if the route still leads
// to the service.
func (g *Gateway) resumeOn(x *requestState, o origins.Origin, source string) error {
	x.originSource = source
	if !slices.ContainsFunc(x.route.Split, func(s document.WeightedService) bool { return s.Service == o.Service && s.Weight > 0 }) {
		return refusal.New(refusal.NoTarget, refusal.NotRun, "the route no longer leads to the service %s, which began the stream", o.Service)
	}
	x.bindOrigin(o)
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
	usable := g.Views.Current().hasService
	record, ok := g.Table.Find(s.target, usable)
	if !ok || record.Software != s.software || record.StartMillis != s.startMillis {
		return false
	}
	later, started := g.Table.LaterProcess(s.target, s.startMillis, usable)
	return !started || later.Software == s.software
}
