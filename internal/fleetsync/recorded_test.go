package fleetsync

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"geraniumturn.example/geraniumturn/internal/document"
	"geraniumturn.example/geraniumturn/internal/fleetsync/syncpb"
	"geraniumturn.example/geraniumturn/internal/registry"
)

// Guards against a message of an earlier build, with every field set, that this build
// understands differently: each field keeps its number and type. The bytes were written by
// the build named in their path.
func TestRecordedMessages(t *testing.T) {
	for name, m := range map[string]proto.Message{
		"ExchangeRequest": &syncpb.ExchangeRequest{}, "ExchangeResponse": &syncpb.ExchangeResponse{},
		"RelayRequest": &syncpb.RelayRequest{}, "UsageReport": &syncpb.UsageReport{},
	} {
		data, err := os.ReadFile(filepath.Join("testdata", "38a17f9", name))
		if err != nil {
			t.Fatal(err)
		}
		if err := proto.Unmarshal(data, m); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		if len(m.ProtoReflect().GetUnknown()) > 0 {
			t.Errorf("%s has fields that this build does not know", name)
		}
		if again, err := (proto.MarshalOptions{Deterministic: true}).Marshal(m); err != nil || !bytes.Equal(again, data) {
			t.Errorf("%s: %v, written again as %x", name, err, again)
		}
	}
	var request syncpb.ExchangeRequest
	data, err := os.ReadFile(filepath.Join("testdata", "38a17f9", "ExchangeRequest"))
	if err != nil || proto.Unmarshal(data, &request) != nil {
		t.Fatal(err)
	}
	if h := request.GetHost(); h.GetName() != "e1" || h.GetLoads()[0].GetTokenUs() != 345 || h.GetUsageRelay() {
		t.Errorf("host %v", h)
	}
}

// Guards against bytes of another build, or damaged ones, that end a control host or that
// it cannot pass on.
func FuzzControlHostMessages(f *testing.F) {
	for _, name := range []string{"ExchangeRequest", "RelayRequest"} {
		data, err := os.ReadFile(filepath.Join("testdata", "38a17f9", name))
		if err != nil {
			f.Fatal(err)
		}
		for _, n := range []int{len(data), len(data) / 2, len(data) - 1} {
			f.Add(data[:n])
		}
		f.Add(append(bytes.Clone(data), data...))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		s := &Server{Self: &syncpb.ControlHost{Peer: "self"}, Leadership: alwaysLeader{}, Presence: NewPresence(), Targets: registry.NewTable(), Document: document.NewMachine(),
			RegionCount: 3, InvalidRecords: func(string, error) {}, OnDeparture: func(registry.Record, string) {}}
		s.Init()
		var exchange syncpb.ExchangeRequest
		if proto.Unmarshal(data, &exchange) == nil {
			out, err := s.Exchange(t.Context(), &exchange)
			if err == nil {
				_, err = proto.Marshal(out)
			}
			if err != nil {
				t.Error(err)
			}
		}
		var relay syncpb.RelayRequest
		if proto.Unmarshal(data, &relay) == nil {
			if _, err := s.Relay(t.Context(), &relay); err != nil {
				t.Error(err)
			}
		}
		for _, h := range s.Presence.Entries(time.Hour) {
			if _, err := proto.Marshal(h); err != nil {
				t.Error(err)
			}
		}
	})
}
