package fleetsync

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"geraniumturn.example/geraniumturn/internal/fleetsync/syncpb"
	"geraniumturn.example/geraniumturn/internal/registry"
)

const (
	// resyncRecords bounds the targets in one response to an entry host whose table differs,
	// so that hundreds of hosts that start together neither fill the memory of a control host
	// nor wait longer than the timeout of an exchange.
	resyncRecords = 512
	// largeResponse is the number of targets from which a response counts as large, and
	// maxLargeResponses the number of them that may wait to be written: about 15 MB. Further
	// hosts are asked to come back, so that hosts which reconnect together do not exhaust memory.
	largeResponse     = 128
	maxLargeResponses = 64
	// resyncPause is the time until the next request for the rest of the table.
	resyncPause = 20 * time.Millisecond
)

// addTargets adds the targets that changed after the caller's cursor. A caller that tells the
// digests of its table gets of them what differs, in parts.
func (s *Server) addTargets(now time.Duration, in *syncpb.ExchangeRequest, out *syncpb.ExchangeResponse) {
	cursor := in.GetCursor()
	if in.GetTable() != s.Incarnation {
		cursor = 0
	}
	changes := registry.Changes{}
	if in.GetDelta() {
		q := registry.Query{Cursor: cursor, Digests: in.GetBucketDigests(), Pass: registry.Pass{First: int(in.GetFirstBucket() % registry.Buckets)},
			Limit: resyncRecords, Secondary: in.GetSecondary()}
		if in.GetTable() == s.Incarnation {
			q.Pass.Done, q.Pass.Revision = int(min(in.GetBucketsDone(), registry.Buckets)), in.GetPassRevision()
		}
		if len(q.Digests) > 0 && s.largeResponses.Load() >= maxLargeResponses {
			changes = registry.Changes{Cursor: cursor, Incomplete: true, Pass: q.Pass}
		} else {
			changes = s.Targets.Changes(now, q)
		}
	} else {
		changes.Records, changes.Cursor = s.Targets.ChangedSince(cursor)
	}
	out.BucketsDone, out.PassRevision = uint32(changes.Pass.Done), changes.Pass.Revision
	out.Table, out.Cursor, out.Incomplete, out.Targets = s.Incarnation, changes.Cursor, changes.Incomplete, encodeRecords(now, changes.Records)
}

// wantsMoreNow reports whether an incomplete response is to be followed by a request at once:
// it told something, or it asked for digests. One that told nothing in spite of digests comes
// from a control host that has too much to send.
func wantsMoreNow(in *syncpb.ExchangeRequest, out *syncpb.ExchangeResponse) bool {
	return out.GetIncomplete() && (len(out.GetTargets()) > 0 || len(in.GetBucketDigests()) == 0)
}

// addControls adds the list of control hosts, unless the caller has it.
func (s *Server) addControls(now time.Duration, in *syncpb.ExchangeRequest, out *syncpb.ExchangeResponse) {
	controls := s.Presence.Controls(now)
	if !in.GetDelta() {
		out.Controls = controls
		return
	}
	d := xxhash.New()
	for _, c := range controls {
		_, _ = fmt.Fprintf(d, "%q %q %q %q %t\n", c.GetPeer(), c.GetRegion(), c.GetDataCentre(), c.GetControl(), c.GetDocuments()) // never fails
	}
	out.ControlsDigest = d.Sum64() | 1 // 0 means that there is none
	if out.ControlsDigest != in.GetControlsDigest() {
		out.Controls = controls
	}
}

// controlState is what an entry host has of one control host.
type controlState struct {
	hosts hostList
	// first is the bucket of the table of targets with which the control host begins. It
	// differs between control hosts, so that each tells another part.
	first          uint32
	controlsDigest uint64
	controls       []*syncpb.ControlHost
	// asksSecondary is that of the last request, secondary of the last one that was answered.
	asksSecondary, secondary bool
	// incomplete, bucketsDone and passRevision are those of the last response.
	incomplete   bool
	bucketsDone  uint32
	passRevision uint64
}

func newControlState(region, address string) *controlState {
	return &controlState{hosts: hostList{region: region}, first: uint32(xxhash.Sum64String(address) % registry.Buckets)}
}

// prepare adds to a request what the control host needs to tell changes only. digests returns
// the digests of this host's table of targets. secondary means that another control host is
// asked for all changes of targets.
func (c *controlState) prepare(in *syncpb.ExchangeRequest, digests func() []uint64, secondary bool) {
	if c.secondary && !secondary {
		in.Cursor, c.bucketsDone = 0, 0 // it left out what another one told
	}
	c.asksSecondary = secondary
	in.Delta, in.Secondary, in.ControlsDigest = true, secondary, c.controlsDigest
	in.HostTable, in.HostCursor = c.hosts.table, c.hosts.cursor
	if c.incomplete || in.GetCursor() == 0 && !secondary {
		in.BucketDigests, in.FirstBucket = digests(), c.first
		in.BucketsDone, in.PassRevision = c.bucketsDone, c.passRevision
	}
}

// apply completes what a response tells by its changes only.
func (c *controlState) apply(out *syncpb.ExchangeResponse) {
	if digest := out.GetControlsDigest(); digest == 0 || digest != c.controlsDigest {
		c.controlsDigest, c.controls = digest, out.GetControls()
	}
	c.secondary = c.asksSecondary
	out.Controls, c.incomplete = c.controls, out.GetIncomplete()
	c.bucketsDone, c.passRevision = out.GetBucketsDone(), out.GetPassRevision()
	c.hosts.apply(out)
}
