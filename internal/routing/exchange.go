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
	// demandTTL is how long a host counts as wanting room: in its own state after its
	// last forward, and in other data centres after its last summary request with the
	// key. A summary request goes to one random host of each data centre per second,
	// so with several hosts in a data centre each one is called only every few seconds.
	demandTTL = 5 * time.Second
	// maxDemandHosts bounds the hosts among which the room is divided.
	maxDemandHosts = 256
)

// SummaryCall is a summary request to one host of another data centre.
type SummaryCall struct {
	Host    RemoteHost
	Request *routingpb.SummaryRequest
	sentAt  time.Time
	// outstanding is flow.outstanding at sentAt.
	outstanding map[serviceKey]int
}

// PrepareSummaryCalls returns one summary call for each other data centre. The caller
// runs it once per ExchangeInterval and passes each call to CompleteSummaryCall.
func (r *Router) PrepareSummaryCalls() []SummaryCall {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	r.refreshDataCentres()
	var calls []SummaryCall
	for _, dc := range r.dataCentres {
		if len(dc.hosts) == 0 {
			continue
		}
		call := SummaryCall{Host: r.anyHost(dc, now), Request: &routingpb.SummaryRequest{}, sentAt: now, outstanding: map[serviceKey]int{}}
		for k, f := range dc.flows {
			if f.outstanding == 0 && now.Sub(f.lastUsed) >= demandTTL {
				delete(dc.flows, k)
				continue
			}
			call.outstanding[k] = f.outstanding
			if len(call.Request.Wants) < maxRows*keyBytes {
				call.Request.Wants = appendKey(call.Request.Wants, k)
			}
		}
		r.stats.Exchanges++
		calls = append(calls, call)
	}
	return calls
}

// CompleteSummaryCall processes the response to a summary call. A nil response means
// that the call failed.
func (r *Router) CompleteSummaryCall(call SummaryCall, response *routingpb.SummaryResponse) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	i := slices.IndexFunc(r.dataCentres, func(dc *remoteDataCentre) bool { return dc.name == call.Host.DataCentre })
	if i < 0 {
		return nil
	}
	if response == nil {
		r.stats.ExchangesFailed++
		r.markHostFailed(call.Host.Name, now)
		return nil
	}
	rows, err := parseRows(response.Rows)
	if err != nil {
		return err
	}
	r.stats.SummaryBytes += int64(len(response.Rows) + len(call.Request.Wants))
	dc := r.dataCentres[i]
	oneWay := now.Sub(call.sentAt) / 2
	if dc.summaryTime.IsZero() || oneWay < dc.delay {
		dc.delay = oneWay
	} else {
		dc.delay += (oneWay - dc.delay) / 10 // rises slowly, so that short load spikes have little effect
	}
	dc.rows, dc.summaryTime = rows, now.Add(-oneWay)
	for k, f := range dc.flows {
		f.outstandingAtSummary = min(call.outstanding[k], f.outstanding)
		f.blocked = false
	}
	delete(r.hostStates, call.Host.Name)
	return nil
}

// BuildSummary returns the summary of this data centre for the requesting host.
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
	for _, service := range r.config.Table.Services() {
		if len(rows) >= maxRows*rowBytes {
			break
		}
		c := r.config.Table.Capacity(now, &targets.Query{Pool: service.Pool, Model: service.Model})
		if c.Targets > 0 {
			k := serviceKeyOf(service.Pool, service.Model)
			rows = appendRow(rows, k, r.summaryRow(now, k, service.Pool, c, from))
		}
	}
	return &routingpb.SummaryResponse{Rows: rows}, nil
}

// recordDemand records that the host wants room for the given pools and models, and
// removes expired demand.
func (r *Router) recordDemand(now time.Time, from string, wanted []serviceKey) {
	for k, hosts := range r.demand {
		for host, requestedAt := range hosts {
			if now.Sub(requestedAt) >= demandTTL {
				delete(hosts, host)
			}
		}
		if len(hosts) == 0 {
			delete(r.demand, k)
		}
	}
	for _, k := range wanted {
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

// summaryRow returns the row of a pool and model for one requesting host, with its
// share of the room.
func (r *Router) summaryRow(now time.Time, k serviceKey, pool string, c targets.Capacity, from string) Row {
	queued := 0
	if r.config.Queued != nil {
		queued = r.config.Queued(pool)
	}
	row := Row{Room: r.roomShare(k, max(c.Room-queued, 0), from), Service: defaultService}
	if e := r.estimates[k]; e != nil {
		row.Service, row.Prefill = time.Duration(e.service), time.Duration(e.prefill)
	}
	if excess := c.Load + queued - c.Slots; excess >= 0 {
		row.Wait = row.Service * time.Duration(excess+1) / time.Duration(max(c.Slots, 1))
	}
	return row
}

// roomShare returns the share of the room for one host. The room is divided equally
// among the hosts that want it; the first hosts in order of name get one more until the
// remainder is used up.
func (r *Router) roomShare(k serviceKey, room int, from string) int {
	hosts := []string{from}
	for host := range r.demand[k] {
		if host != from {
			hosts = append(hosts, host)
		}
	}
	sort.Strings(hosts)
	share := room / len(hosts)
	if slices.Index(hosts, from) < room%len(hosts) {
		share++
	}
	return share
}

// Service serves the summary requests of other data centres.
type Service struct{ Router *Router }

// Summary implements the Routing service.
func (s Service) Summary(ctx context.Context, in *routingpb.SummaryRequest) (*routingpb.SummaryResponse, error) {
	out, err := s.Router.BuildSummary(peer.Sender(ctx), in)
	if err != nil {
		return nil, fmt.Errorf("routing: summary for %s: %w", peer.Sender(ctx), err)
	}
	return out, nil
}
