package fleetsync

import (
	"geraniumturn.example/geraniumturn/internal/fleetsync/syncpb"
)

// hostList is an entry host's copy of the list of hosts of one control host.
type hostList struct {
	region        string
	table, cursor uint64
	own           map[string]*syncpb.EntryHost
	others        map[string]*syncpb.EntryHost
}

// apply applies a response and replaces its changes by the list of all hosts with their
// ages. It leaves out hosts that the control host does not know to have reported.
func (l *hostList) apply(out *syncpb.ExchangeResponse) {
	if !out.GetHasHosts() {
		return
	}
	if l.own == nil || out.GetHostTable() != l.table {
		l.own, l.others = map[string]*syncpb.EntryHost{}, map[string]*syncpb.EntryHost{}
	}
	l.table, l.cursor = out.GetHostTable(), out.GetHostCursor()
	for _, h := range out.GetHosts() {
		switch {
		case h.GetGone():
			delete(l.own, h.GetName())
		case h.GetRegion() == l.region:
			l.own[h.GetName()] = h
		default:
			l.others[h.GetName()] = h
		}
	}
	digest := uint64(0)
	out.Hosts = nil
	viewAge := out.GetViewAgeMs()
	for name, h := range l.own {
		digest += entryDigest(name, h.GetRevision())
		place := int(h.GetRef()) - 1
		if place < 0 || place >= len(out.GetAges()) || out.GetAges()[place] == emptyPlace {
			continue
		}
		current := copyEntry(h)
		current.Loads, current.HeardMs = nil, viewAge+decodeAge(out.GetAges()[place]).Milliseconds()
		out.Hosts = append(out.Hosts, current)
	}
	told := map[string]bool{}
	for _, a := range out.GetOthers() {
		h := l.others[a.GetName()]
		told[a.GetName()] = true
		if h == nil {
			l.cursor = 0
			continue
		}
		current := copyEntry(h)
		current.HeardMs, current.Loads = viewAge+a.GetHeardMs(), a.GetLoads()
		out.Hosts = append(out.Hosts, current)
	}
	for name := range l.others {
		if !told[name] {
			delete(l.others, name) // it is told in full if it is chosen again
		}
	}
	if digest != out.GetHostDigest() {
		l.own, l.others, l.cursor = nil, nil, 0
	}
}
