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
	// demandTTL is how long a host that sent requests away counts as one that
	// wants room. It asks a random host of a data centre each second, so this
	// covers data centres with several hosts.
	demandTTL = 5 * time.Second
	// maxDemandHosts bounds the hosts between which room is split.
	maxDemandHosts = 256
)

// SummaryCall is a summary request to one host.
type SummaryCall struct {
	Host        RemoteHost
	Request     *routingpb.SummaryRequest
	sentAt      time.Time
	outstanding map[serviceKey]int
}

// PrepareSummaryCalls returns one question for each other data centre. Call it once each
// ExchangeInterval, and CompleteSummaryCall for each call.
func (r *Router) PrepareSummaryCalls() []SummaryCall {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	r.refreshDataCentres()
	var out []SummaryCall
	for _, s := range r.dataCentres {
		if len(s.hosts) == 0 {
			continue
		}
		q := SummaryCall{Host: r.anyHost(s, now), Request: &routingpb.SummaryRequest{}, sentAt: now, outstanding: map[serviceKey]int{}}
		for k, f := range s.flows {
			if f.outstanding == 0 && now.Sub(f.lastUsed) >= demandTTL {
				delete(s.flows, k)
				continue
			}
			q.outstanding[k] = f.outstanding
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
	i := slices.IndexFunc(r.dataCentres, func(s *remoteDataCentre) bool { return s.name == q.Host.DataCentre })
	if i < 0 {
		return nil
	}
	if answer == nil {
		r.stats.ExchangesFailed++
		r.markHostFailed(q.Host.Name, now)
		return nil
	}
	rows, err := parseRows(answer.Rows)
	if err != nil {
		return err
	}
	r.stats.SummaryBytes += int64(len(answer.Rows) + len(q.Request.Wants))
	s := r.dataCentres[i]
	oneWay := now.Sub(q.sentAt) / 2
	if s.summaryTime.IsZero() || oneWay < s.delay {
		s.delay = oneWay
	} else {
		s.delay += (oneWay - s.delay) / 10 // rises slowly, so that a busy moment does not count
	}
	s.rows, s.summaryTime = rows, now.Add(-oneWay)
	for k, f := range s.flows {
		f.outstandingAtSummary = min(q.outstanding[k], f.outstanding)
		f.blocked = false
	}
	delete(r.hostStates, q.Host.Name)
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
	r.recordDemand(now, from, wants)
	var rows []byte
	for _, s := range r.config.Table.Services() {
		if len(rows) >= maxRows*rowBytes {
			break
		}
		c := r.config.Table.Capacity(now, &targets.Query{Pool: s.Pool, Model: s.Model})
		if c.Targets > 0 {
			k := serviceKeyOf(s.Pool, s.Model)
			rows = appendRow(rows, k, r.summaryRow(now, k, s.Pool, c, from))
		}
	}
	return &routingpb.SummaryResponse{Rows: rows}, nil
}

// recordDemand remembers which hosts want room.
func (r *Router) recordDemand(now time.Time, from string, wants []serviceKey) {
	for k, hosts := range r.demand {
		for host, at := range hosts {
			if now.Sub(at) >= demandTTL {
				delete(hosts, host)
			}
		}
		if len(hosts) == 0 {
			delete(r.demand, k)
		}
	}
	for _, k := range wants {
		hosts := r.demand[k]
		if hosts == nil && len(r.demand) < maxServiceKeys {
			hosts = map[string]time.Time{}
			r.demand[k] = hosts
		}
		if hosts != nil && len(hosts) < maxDemandHosts {
			hosts[from] = now
		}
	}
}

// summaryRow states the capacity of a pool and model to one asker: its part of the
// free room, where the hosts that want some are counted.
func (r *Router) summaryRow(now time.Time, k serviceKey, pool string, c targets.Capacity, from string) Row {
	queued := 0
	if r.config.Queued != nil {
		queued = r.config.Queued(pool)
	}
	row := Row{Room: r.roomShare(k, max(c.Room-queued, 0), from), Service: defaultService}
	if e := r.estimates[k]; e != nil {
		row.Service, row.Prefill = time.Duration(e.service), time.Duration(e.prefill)
	}
	if over := c.Load + queued - c.Slots; over >= 0 {
		row.Wait = row.Service * time.Duration(over+1) / time.Duration(max(c.Slots, 1))
	}
	return row
}

// roomShare splits the free room between the hosts that want it. What is left over
// by the division goes to the first of them in order of name.
func (r *Router) roomShare(k serviceKey, free int, from string) int {
	hosts := []string{from}
	for host := range r.demand[k] {
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
