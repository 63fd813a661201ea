package storage

import (
	"geraniumturn.example/geraniumturn/internal/control/controlpb"
	"geraniumturn.example/geraniumturn/internal/control/core"
)

// MembersToProto converts a membership for the wire and the disk.
func MembersToProto(members []core.Member) []*controlpb.Member {
	out := make([]*controlpb.Member, len(members))
	for i, m := range members {
		out[i] = &controlpb.Member{Id: m.ID, Host: m.Host, Learner: m.Learner}
	}
	return out
}

// MembersFromProto is the reverse of MembersToProto.
func MembersFromProto(members []*controlpb.Member) []core.Member {
	if len(members) == 0 {
		return nil
	}
	out := make([]core.Member, len(members))
	for i, m := range members {
		out[i] = core.Member{ID: m.GetId(), Host: m.GetHost(), Learner: m.GetLearner()}
	}
	return out
}

// EntriesToProto converts entries for the wire and the disk.
func EntriesToProto(entries []core.Entry) []*controlpb.Entry {
	out := make([]*controlpb.Entry, len(entries))
	for i, e := range entries {
		out[i] = &controlpb.Entry{Index: e.Index, Term: e.Term, Kind: uint32(e.Kind), Data: e.Data, Members: MembersToProto(e.Members)}
	}
	return out
}

// EntriesFromProto is the reverse of EntriesToProto.
func EntriesFromProto(entries []*controlpb.Entry) []core.Entry {
	if len(entries) == 0 {
		return nil
	}
	out := make([]core.Entry, len(entries))
	for i, e := range entries {
		out[i] = core.Entry{Index: e.GetIndex(), Term: e.GetTerm(), Kind: core.EntryKind(e.GetKind()), Data: e.GetData(), Members: MembersFromProto(e.GetMembers())}
	}
	return out
}
