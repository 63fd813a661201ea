package fleetsync

import (
	"context"
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

// withOrigins returns the request with the origins that a control host does not have yet,
// and the position after them.
func (s *Server) withOrigins(now time.Duration, address string, in *syncpb.RelayRequest) (*syncpb.RelayRequest, uint64) {
	s.mu.Lock()
	from := s.originCursors[address].cursor
	s.mu.Unlock()
	groups, next := s.origins.Since(now, from)
	return &syncpb.RelayRequest{From: in.From, Targets: in.Targets, Hosts: in.Hosts, Demands: in.Demands, Controls: in.Controls,
		Origins: EncodeOrigins(groups)}, next
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
}

// FindOrigin asks all control hosts which software began a stream of a service that has
// lasted for at most window, and returns with the first one that knows.
func (c *Client) FindOrigin(ctx context.Context, key origins.Key, service string, window time.Duration) OriginAnswer {
	ctx, cancel := context.WithTimeout(ctx, originTimeout)
	defer cancel()
	c.mu.Lock()
	var addresses []string
	for a := range c.regionByControl {
		addresses = append(addresses, a)
	}
	c.mu.Unlock()
	in := &syncpb.OriginRequest{Key: uint64(key), Service: service, WindowMs: window.Milliseconds()}
	responses := make(chan *syncpb.OriginResponse, len(addresses))
	for _, a := range addresses {
		go func() {
			out, err := syncpb.NewDRPCSyncClient(c.Dial(a)).FindOrigin(ctx, in)
			if err != nil {
				out = nil // the answer is then incomplete
			}
			responses <- out
		}()
	}
	answer := OriginAnswer{Complete: len(addresses) > 0}
	for range addresses {
		out := <-responses
		if out.GetFound() {
			return OriginAnswer{Origin: origins.Origin{Service: out.GetService(), Software: out.GetSoftware()}, Found: true}
		}
		if out == nil || out.GetUptimeMs() < window.Milliseconds() {
			answer.Complete = false
		}
		answer.Versions = append(answer.Versions, out.GetVersions()...)
	}
	slices.Sort(answer.Versions)
	answer.Versions = slices.Compact(answer.Versions)
	return answer
}
