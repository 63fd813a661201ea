package routing

import (
	"context"
	"fmt"
	"slices"
	"sort"
	"time"

	"geraniumturn.example/geraniumturn/internal/peer"
	"geraniumturn.example/geraniumturn/internal/routing/routingpb"
	"geraniumturn.example/geraniumturn/internal/targets"
)

const (
	// wantLimit is how long a host that sent requests away counts as one that
	// wants room. It asks a random host of a data centre each second, so this
	// covers data centres with several hosts.
	wantLimit = 5 * time.Second
	// maxAskers bounds the hosts between which room is split.
	maxAskers = 256
)

// SummaryCall is a summary request to one host.
type SummaryCall struct {
	Host    RemoteHost
	Request *routingpb.SummaryRequest
	asked   time.Time
	bases   map[key]int
}

// PrepareSummaryCalls returns one question for each other data centre. Call it once each
// ExchangeInterval, and CompleteSummaryCall for each call.
func (r *Router) PrepareSummaryCalls() []SummaryCall {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	r.refreshSites()
	var out []SummaryCall
	for _, s := range r.sites {
		if len(s.hosts) == 0 {
			continue
		}
		q := SummaryCall{Host: r.anyHost(s, now), Request: &routingpb.SummaryRequest{}, asked: now, bases: map[key]int{}}
		for k, f := range s.flows {
			if f.outstanding == 0 && now.Sub(f.used) >= wantLimit {
				delete(s.flows, k)
				continue
			}
			q.bases[k] = f.outstanding
			if len(q.Request.Wants) < maxRows*keyBytes {
				q.Request.Wants = appendKey(q.Request.Wants, k)
			}
		}
		r.stats.Exchanges++
		out = append(out, q)
	}
	return out
}

// CompleteSummaryCall takes the answer to a question. A nil answer means that it failed.
func (r *Router) CompleteSummaryCall(q SummaryCall, answer *routingpb.SummaryResponse) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	i := slices.IndexFunc(r.sites, func(s *site) bool { return s.name == q.Host.DataCentre })
	if i < 0 {
		return nil
	}
	if answer == nil {
		r.stats.ExchangesFailed++
		r.hostFailed(q.Host.Name, now)
		return nil
	}
	rows, err := parseRows(answer.Rows)
	if err != nil {
		return err
	}
	r.stats.SummaryBytes += int64(len(answer.Rows) + len(q.Request.Wants))
	s := r.sites[i]
	oneWay := now.Sub(q.asked) / 2
	if s.heard.IsZero() || oneWay < s.delay {
		s.delay = oneWay
	} else {
		s.delay += (oneWay - s.delay) / 10 // rises slowly, so that a busy moment does not count
	}
	s.rows, s.heard = rows, now.Add(-oneWay)
	for k, f := range s.flows {
		f.base = min(q.bases[k], f.outstanding)
		f.closed = false
	}
	delete(r.hosts, q.Host.Name)
	return nil
}

// BuildSummary makes the summary of this data centre for the asking host.
func (r *Router) BuildSummary(from string, in *routingpb.SummaryRequest) (*routingpb.SummaryResponse, error) {
	wants, err := parseKeys(in.GetWants())
	if err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	r.note(now, from, wants)
	var rows []byte
	for _, s := range r.config.Table.Services() {
		if len(rows) >= maxRows*rowBytes {
			break
		}
		c := r.config.Table.Capacity(now, &targets.Query{Pool: s.Pool, Model: s.Model})
		if c.Targets > 0 {
			k := keyOf(s.Pool, s.Model)
			rows = appendRow(rows, k, r.row(now, k, s.Pool, c, from))
		}
	}
	return &routingpb.SummaryResponse{Rows: rows}, nil
}

// note remembers which hosts want room.
func (r *Router) note(now time.Time, from string, wants []key) {
	for k, hosts := range r.askers {
		for host, at := range hosts {
			if now.Sub(at) >= wantLimit {
				delete(hosts, host)
			}
		}
		if len(hosts) == 0 {
			delete(r.askers, k)
		}
	}
	for _, k := range wants {
		hosts := r.askers[k]
		if hosts == nil && len(r.askers) < maxKeys {
			hosts = map[string]time.Time{}
			r.askers[k] = hosts
		}
		if hosts != nil && len(hosts) < maxAskers {
			hosts[from] = now
		}
	}
}

// row states the capacity of a pool and model to one asker: its part of the
// free room, where the hosts that want some are counted.
func (r *Router) row(now time.Time, k key, pool string, c targets.Capacity, from string) Row {
	queued := 0
	if r.config.Queued != nil {
		queued = r.config.Queued(pool)
	}
	row := Row{Room: r.part(k, max(c.Room-queued, 0), from), Service: defaultService}
	if e := r.models[k]; e != nil {
		row.Service, row.Prefill = time.Duration(e.service), time.Duration(e.prefill)
	}
	if over := c.Load + queued - c.Slots; over >= 0 {
		row.Wait = row.Service * time.Duration(over+1) / time.Duration(max(c.Slots, 1))
	}
	return row
}

// part splits the free room between the hosts that want it. What is left over
// by the division goes to the first of them in order of name.
func (r *Router) part(k key, free int, from string) int {
	hosts := []string{from}
	for host := range r.askers[k] {
		if host != from {
			hosts = append(hosts, host)
		}
	}
	sort.Strings(hosts)
	part := free / len(hosts)
	if slices.Index(hosts, from) < free%len(hosts) {
		part++
	}
	return part
}

// Service answers the summary requests of other data centres.
type Service struct{ Router *Router }

// Summary implements the drpc service.
func (s Service) Summary(ctx context.Context, in *routingpb.SummaryRequest) (*routingpb.SummaryResponse, error) {
	out, err := s.Router.BuildSummary(peer.Sender(ctx), in)
	if err != nil {
		return nil, fmt.Errorf("routing: summary for %s: %w", peer.Sender(ctx), err)
	}
	return out, nil
}
