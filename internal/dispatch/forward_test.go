package dispatch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"geraniumturn.example/geraniumturn/internal/clock"
	"geraniumturn.example/geraniumturn/internal/dispatch/dispatchpb"
	"geraniumturn.example/geraniumturn/internal/peer"
	"geraniumturn.example/geraniumturn/internal/refusal"
	"geraniumturn.example/geraniumturn/internal/rules"
	"geraniumturn.example/geraniumturn/internal/timeline"
)

// choices offers its elements in order, each once.
type choices struct {
	list []Choice
	next int
}

func (c *choices) Choose(context.Context, *Request, Tried) (Choice, error) {
	if c.next == len(c.list) {
		return Choice{}, refusal.New(refusal.NoTarget, refusal.NotRun, "no target is left")
	}
	c.next++
	return c.list[c.next-1], nil
}

// otherHost answers forwarded requests with a head, the data and, unless it breaks off, an end.
type otherHost struct {
	data      string
	breaksOff bool
}

func (h otherHost) Forward(stream dispatchpb.DRPCDispatch_ForwardStream) error {
	for range 2 { // Open and Body
		if _, err := stream.Recv(); err != nil {
			return err
		}
	}
	sink := streamSink{stream}
	if err := errors.Join(sink.Start(http.StatusOK, nil), sink.Write([]byte(h.data))); err != nil {
		return err
	}
	if h.breaksOff {
		return io.ErrUnexpectedEOF
	}
	return stream.Send(&dispatchpb.ForwardDown{Kind: &dispatchpb.ForwardDown_End{End: &dispatchpb.End{Dispatches: 1}}})
}

// startHost serves forwarded requests and returns the host and the transport that reaches it.
func startHost(t *testing.T, h otherHost) (*Host, *peer.Transport) {
	transport := peer.New("bilbao-1", &clock.HLC{}, nil)
	if err := transport.Register(h, dispatchpb.DRPCDispatchDescription{}); err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = transport.Serve(ctx, listener)
	}()
	t.Cleanup(func() {
		_ = transport.Close()
		cancel()
		<-done
	})
	return &Host{Name: "bilbao-1", DataCentre: "bilbao-a", PeerAddress: listener.Addr().String()}, transport
}

// Guards against the state of an attempt that failed before its first byte and that a
// forwarded response takes over: its stream would go on at a target of other software, or the
// part behind its last empty line would be missing from a response that looks complete.
func TestForwardAfterFailedStream(t *testing.T) {
	const event = "data: {\"n\":0}\n\n"
	for name, c := range map[string]struct {
		host      otherHost
		truncated bool
	}{
		"broken off":              {otherHost{event, true}, true},
		"whole stream":            {otherHost{event + "data: [DONE]\n\n", false}, false},
		"whole, no events":        {otherHost{"{\"answer\":1}", false}, false},
		"whole, text after blank": {otherHost{"a\n\nb", false}, false},
	} {
		t.Run(name, func(t *testing.T) {
			fails := newTarget(t, "t1", nil, func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", "text/event-stream")
				_ = http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			})
			var resumed atomic.Int64
			resumes := newTarget(t, "t2", []string{featureResume}, func(w http.ResponseWriter, r *http.Request) {
				resumed.Add(1)
				w.Header().Set("Content-Type", "text/event-stream")
				w.Header().Set(headerResumeAfter, r.Header.Get(headerResumeAfter))
				fmt.Fprint(w, "data: of another run\n\ndata: [DONE]\n\n")
			})
			host, transport := startHost(t, c.host)
			chooser := &choices{list: []Choice{{Target: fails}, {Host: host}, {Target: resumes}}}
			d := New(Host{Name: "gijon-1", DataCentre: "gijon-a"}, chooser, noObserver{}, timeline.New("gijon-1", &clock.HLC{}, 64), transport.Dial)
			req := request("POST", true)
			req.Kind, req.Stream = rules.Engine, true
			sink := &memorySink{}
			_, err := d.Do(t.Context(), req, sink)
			if got := sink.body.String(); got != c.host.data || errors.Is(err, ErrResponseTruncated) != c.truncated || !c.truncated && err != nil || resumed.Load() > 0 {
				t.Errorf("%q, %d resumed elsewhere: %v", got, resumed.Load(), err)
			}
		})
	}
}
