package daemon

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"geraniumturn.example/geraniumturn/internal/dispatch"
	"geraniumturn.example/geraniumturn/internal/settings"
	"geraniumturn.example/geraniumturn/internal/suspects"
	"geraniumturn.example/geraniumturn/internal/suspects/suspectspb"
	"geraniumturn.example/geraniumturn/internal/targets"
	"geraniumturn.example/geraniumturn/internal/timeline"
)

const (
	// suspectsPullInterval is the time between pulls, which repair entries that a push
	// did not deliver, as after a network partition.
	suspectsPullInterval = 5 * time.Second
	suspectsTimeout      = time.Second
)

// buildSuspects wraps the router and the observer with a guard against requests that
// crash targets.
func (d *Daemon) buildSuspects(chooser dispatch.Chooser, observer dispatch.Observer) (*suspects.Guard, error) {
	key, err := settings.ReadSecret(d.settings.Security.DigestKeyFile, minDigestKeyBytes)
	if err != nil {
		return nil, err
	}
	d.suspects = suspects.NewTable([]byte(key))
	if err := d.transport.Register(suspects.Service{Table: d.suspects}, suspectspb.DRPCSuspectsDescription{}); err != nil {
		return nil, err
	}
	return suspects.NewGuard(d.suspects, suspectsPlatform{d}, chooser, observer), nil
}

// suspectsPlatform implements suspects.Platform.
type suspectsPlatform struct{ d *Daemon }

// Crashed implements suspects.Platform.
func (p suspectsPlatform) Crashed(target string, incarnation uint64) bool {
	t, ok := p.d.targets.Get(target)
	return !ok || t.Incarnation != incarnation || time.Since(t.LastHeard) >= targets.SilenceLimit
}

// Lease implements suspects.Platform.
func (p suspectsPlatform) Lease(req *dispatch.Request, tried dispatch.Tried, length time.Duration) (targets.Target, suspects.Lease, bool) {
	lease, err := p.d.LeaseTarget(&targets.Query{Pool: req.Pool, Model: req.Model, Prefixes: req.Prefixes,
		Residency: req.Residency, Exclude: tried.Targets}, length)
	if err != nil {
		return targets.Target{}, nil, false
	}
	return lease.Target, lease, true
}

// Broadcast implements suspects.Platform.
func (p suspectsPlatform) Broadcast(e *suspectspb.Entry) {
	d := p.d
	d.count("suspects.changes")
	d.events.Record(timeline.Event{Kind: "suspect_changed", Detail: e.Fingerprint})
	var pushes sync.WaitGroup
	for _, h := range d.members.All() {
		if h.Name == d.settings.Name || h.Dead {
			continue
		}
		pushes.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), suspectsTimeout)
			defer cancel()
			client := suspectspb.NewDRPCSuspectsClient(d.transport.Dial(h.Peer))
			if _, err := client.Push(ctx, &suspectspb.Entries{Entries: []*suspectspb.Entry{e}}); err != nil {
				d.count("suspects.push_failed")
			}
		})
	}
	pushes.Wait()
}

// suspectsLoop periodically pulls the suspects table of one random live host.
func (d *Daemon) suspectsLoop(ctx context.Context) error {
	ticker := time.NewTicker(suspectsPullInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			d.pullSuspects(ctx)
		}
	}
}

func (d *Daemon) pullSuspects(ctx context.Context) {
	var peers []string
	for _, h := range d.members.All() {
		if h.Name != d.settings.Name && !h.Dead {
			peers = append(peers, h.Peer)
		}
	}
	if len(peers) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, suspectsTimeout)
	defer cancel()
	client := suspectspb.NewDRPCSuspectsClient(d.transport.Dial(peers[rand.IntN(len(peers))]))
	out, err := client.Pull(ctx, &suspectspb.PullRequest{Digest: d.suspects.Digest(time.Now())})
	if err != nil {
		d.count("suspects.pull_failed")
		return
	}
	d.suspects.Merge(time.Now(), out.GetEntries())
}

// fingerprints implements entry.Fingerprints.
type fingerprints struct{ table *suspects.Table }

// Fingerprint implements entry.Fingerprints.
func (f fingerprints) Fingerprint(workspace, path string, body []byte) string {
	return f.table.Fingerprint(workspace, path, body)
}

// Check implements entry.Fingerprints.
func (f fingerprints) Check(fingerprint string) error { return f.table.Check(time.Now(), fingerprint) }
