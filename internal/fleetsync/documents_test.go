package fleetsync_test

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"storj.io/drpc"

	"geraniumturn.example/geraniumturn/internal/clock"
	"geraniumturn.example/geraniumturn/internal/doctransfer"
	"geraniumturn.example/geraniumturn/internal/document"
	"geraniumturn.example/geraniumturn/internal/fleetsync"
	"geraniumturn.example/geraniumturn/internal/fleetsync/syncpb"
	"geraniumturn.example/geraniumturn/internal/peer"
)

// routesContent returns a document of 1,400 routes, nearly half of which cannot be compressed.
func routesContent(version uint64) []byte {
	random := rand.New(rand.NewPCG(1, 1))
	var b strings.Builder
	fmt.Fprintf(&b, `{"version":%d,"routes":[`, version)
	for range 1400 {
		fmt.Fprintf(&b, `{"name":"%x","host":"%x.example","prefix":"/","kind":"idempotent","timeout_ms":8000,"description":"%s"},`, random.Uint64(), random.Uint64(), strings.Repeat("idle ", 40))
	}
	return []byte(b.String() + "]}")
}

func storeDocument(t *testing.T, s *fleetsync.Server, index, version uint64, content []byte) {
	t.Helper()
	command, err := document.EncodeDocument(version, content)
	if err != nil {
		t.Fatal(err)
	}
	if result := s.Document.Apply(index, command); len(result) > 0 {
		t.Fatalf("%s", result)
	}
}

// fetchingClient is an entry host that fetches and hands out documents.
type fetchingClient struct {
	*recordingClient
	transport *peer.Transport
	address   string
	version   atomic.Uint64 // in force
	transfers atomic.Int64
}

func newFetchingClient(t *testing.T, peers ...*fetchingClient) *fetchingClient {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := &fetchingClient{recordingClient: newClient(t, true), address: listener.Addr().String()}
	c.transport = peer.New("entry", &clock.HLC{}, nil)
	c.Dial = func(a string) drpc.Conn { return c.transport.Dial(a) }
	c.Documents = fleetsync.NewDocuments(doctransfer.Host{Address: c.address, DataCentre: "dc", Region: "here"})
	c.Documents.OnFailure = func(source string, err error) { t.Errorf("from %q: %v", source, err) }
	c.Documents.OnTransfer = func(*doctransfer.Transfer) { c.transfers.Add(1) }
	c.Documents.Peers = func(time.Duration) (out []doctransfer.Candidate) {
		for _, p := range peers {
			out = append(out, doctransfer.Candidate{Address: p.address, DataCentre: "dc", Region: "here"})
		}
		return out
	}
	request, apply := c.NewRequest, c.Apply
	c.NewRequest = func(now time.Duration, full bool, originCursor uint64) *syncpb.ExchangeRequest {
		in := request(now, full, originCursor)
		in.Version = c.version.Load()
		return in
	}
	c.Apply = func(now time.Duration, u fleetsync.Update) {
		apply(now, u)
		if len(u.GetContent()) > 0 && u.GetVersion() > c.version.Load() {
			c.version.Store(u.GetVersion())
		}
	}
	if err := c.transport.Register(c.Documents, syncpb.DRPCDocumentsDescription{}); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = c.transport.Serve(ctx, listener) }()
	t.Cleanup(func() { cancel(); <-done; _ = c.transport.Close() })
	return c
}

func (c *fetchingClient) awaitContent(t *testing.T, version uint64, content []byte) {
	t.Helper()
	c.awaitUpdate(t, 4*time.Second, func(u fleetsync.Update) bool {
		return u.GetVersion() == version && u.GetKnown() && bytes.Equal(u.GetContent(), content)
	})
}

// Answers: a document of 1,400 routes that several control hosts have. Guards against a
// content that arrives more than once, that is sent whole where a delta would do, or that
// comes from a control host with an older version.
func TestDocumentArrivesOnce(t *testing.T) {
	content := routesContent(9)
	var seeds []string
	var servers []*fleetsync.Server
	for i := range 4 {
		s, address := startControlHost(t)
		s.Self.DataCentre, s.Self.Documents = "dc", true
		s.Presence.RecordControl(clock.SinceBoot(), s.Self, true)
		if i == 3 {
			storeDocument(t, s, 4, 8, bytes.Repeat([]byte("outdated"), 50_000))
		} else {
			storeDocument(t, s, 5, 9, content)
		}
		seeds, servers = append(seeds, address), append(servers, s)
	}
	c := newFetchingClient(t)
	c.run(t, seeds...)
	c.awaitContent(t, 9, content)
	time.Sleep(time.Second) // exchanges with all control hosts
	whole := c.transport.Traffic().BytesReceived
	if whole > int64(len(content))/2 {
		t.Errorf("%d bytes received for a document of %d bytes", whole, len(content))
	}
	if c.transfers.Load() == 0 {
		t.Error("the document was not fetched")
	}
	changed := append(routesContent(10), " changed"...)
	for _, s := range servers[:3] {
		storeDocument(t, s, 6, 10, changed)
	}
	c.awaitContent(t, 10, changed)
	if more := c.transport.Traffic().BytesReceived - whole; more > 20_000 {
		t.Errorf("%d bytes received for a small change", more)
	}
}

// Guards against a host that depends on the control hosts for a content that its neighbour
// has: one that confirms the version but hands out nothing.
func TestDocumentFromNeighbour(t *testing.T) {
	content := routesContent(9)
	s, address := startControlHost(t)
	s.Presence.RecordControl(clock.SinceBoot(), &syncpb.ControlHost{Peer: address, Region: "here", DataCentre: "dc", Documents: true}, true)
	storeDocument(t, s, 5, 9, content)
	first := newFetchingClient(t)
	first.run(t, address)
	first.awaitContent(t, 9, content)
	handedOut := s.DocumentStats()
	s.Presence.RecordControl(clock.SinceBoot(), &syncpb.ControlHost{Peer: address, Region: "here"}, true)
	second := newFetchingClient(t, first)
	second.run(t, address)
	second.awaitContent(t, 9, content)
	if s.DocumentStats() != handedOut || first.Documents.Stats().Parts == 0 {
		t.Errorf("the control host handed out %+v, then %+v; the neighbour %+v", handedOut, s.DocumentStats(), first.Documents.Stats())
	}
}

// Guards against an entry host of an earlier build that gets no content, and against one that
// gets the content of an older version.
func TestDocumentForEarlierBuild(t *testing.T) {
	s, _ := startControlHost(t)
	storeDocument(t, s, 5, 9, []byte("abc"))
	for version, want := range map[uint64]string{0: "abc", 8: "abc", 9: "", 10: ""} {
		out, err := s.Exchange(t.Context(), &syncpb.ExchangeRequest{Version: version})
		if err != nil || string(out.GetContent()) != want || len(out.GetDigest()) > 0 {
			t.Errorf("host with version %d: %q, %v", version, out.GetContent(), err)
		}
	}
	out, err := s.Exchange(t.Context(), &syncpb.ExchangeRequest{Version: 8, Fetches: true})
	if err != nil || len(out.GetContent()) > 0 || doctransfer.ParseDigest(out.GetDigest()) != doctransfer.DigestOf([]byte("abc")) || out.GetLength() != 3 {
		t.Errorf("host that fetches: %v, %v", out, err)
	}
}
