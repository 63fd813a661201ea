package fleetsync

import (
	"context"
	"maps"
	"slices"
	"time"

	"geraniumturn.example/geraniumturn/internal/clock"
	"geraniumturn.example/geraniumturn/internal/fleetsync/syncpb"
	"geraniumturn.example/geraniumturn/internal/origins"
)

// originTimeout bounds the question which software began a stream.
const originTimeout = 500 * time.Millisecond

// EncodeOrigins encodes what Store.Since returns.
func EncodeOrigins(in map[origins.Origin][]origins.Key) []*syncpb.StreamOrigins {
	var out []*syncpb.StreamOrigins
	for o, keys := range in {
		group := &syncpb.StreamOrigins{Service: o.Service, Software: o.Software, Keys: make([]uint64, len(keys))}
		for i, k := range keys {
			group.Keys[i] = uint64(k)
		}
		out = append(out, group)
	}
	return out
}

// addOrigins passes the origins in a message to add.
func addOrigins(now time.Duration, in []*syncpb.StreamOrigins, add func(time.Duration, origins.Key, origins.Origin)) {
	for _, group := range in {
		for _, k := range group.GetKeys() {
			add(now, origins.Key(k), origins.Origin{Service: group.GetService(), Software: group.GetSoftware()})
		}
	}
}

// FindOrigin implements the drpc service.
func (s *Server) FindOrigin(_ context.Context, in *syncpb.OriginRequest) (*syncpb.OriginResponse, error) {
	now := clock.SinceBoot()
	out := &syncpb.OriginResponse{UptimeMs: (now - s.startedAt).Milliseconds()}
	if o, found := s.origins.Find(now, origins.Key(in.GetKey())); found {
		out.Found, out.Service, out.Software = true, o.Service, o.Software
		return out, nil
	}
	out.Versions = s.Targets.SoftwareVersions(now, in.GetService(), clock.Millis(float64(in.GetWindowMs())))
	return out, nil
}

// relayCursor is the position in Server.origins up to which another control host has the
// origins, and the process of that host that has them.
type relayCursor struct{ process, cursor uint64 }

// originsFor returns the origins that a control host does not have yet, and the position
// after them.
func (s *Server) originsFor(now time.Duration, address string) ([]*syncpb.StreamOrigins, uint64) {
	s.mu.Lock()
	from := s.originCursors[address].cursor
	s.mu.Unlock()
	groups, next := s.origins.Since(now, from)
	return EncodeOrigins(groups), next
}

// recordRelayed records that a process of a control host has the origins before next. A
// new process gets all of them again. s.mu must be held.
func (s *Server) recordRelayed(address string, process, next uint64) {
	if old := s.originCursors[address]; old.process != process {
		next = 0
	}
	s.originCursors[address] = relayCursor{process, next}
}

// OriginAnswer is what the control hosts know about the origin of a stream.
type OriginAnswer struct {
	origins.Origin
	Found bool
	// Complete means that every known control host has responded, and has collected the
	// versions of the software for the whole window. Versions then holds all versions that
	// can have begun the stream.
	Complete bool
	Versions []string
	// Regions are those of the control hosts that have responded.
	Regions []string
}

// FindOrigin asks all control hosts which software began a stream of a service that has
// lasted for at most window, and returns with the first one that knows.
func (c *Client) FindOrigin(ctx context.Context, key origins.Key, service string, window time.Duration) OriginAnswer {
	ctx, cancel := context.WithTimeout(ctx, originTimeout)
	defer cancel()
	c.mu.Lock()
	controls := maps.Clone(c.regionByControl)
	c.mu.Unlock()
	in := &syncpb.OriginRequest{Key: uint64(key), Service: service, WindowMs: window.Milliseconds()}
	type response struct {
		*syncpb.OriginResponse
		region string
	}
	responses := make(chan response, len(controls))
	for a, region := range controls {
		go func() {
			out, err := syncpb.NewDRPCSyncClient(c.Dial(a)).FindOrigin(ctx, in)
			if err != nil {
				out = nil // the answer is then incomplete
			}
			responses <- response{out, region}
		}()
	}
	answer := OriginAnswer{Complete: len(controls) > 0}
	for range controls {
		out := <-responses
		if out.GetFound() {
			return OriginAnswer{Origin: origins.Origin{Service: out.GetService(), Software: out.GetSoftware()}, Found: true}
		}
		if out.OriginResponse != nil {
			answer.Regions = append(answer.Regions, out.region)
		}
		if out.OriginResponse == nil || out.GetUptimeMs() < window.Milliseconds() {
			answer.Complete = false
		}
		answer.Versions = append(answer.Versions, out.GetVersions()...)
	}
	slices.Sort(answer.Versions)
	answer.Versions = slices.Compact(answer.Versions)
	return answer
}
