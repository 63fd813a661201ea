package gateway_test

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// successor is what accepts connections at the address of a target that is gone.
type successor struct {
	name  string
	serve func(t *testing.T, l net.Listener)
	// silent means that calls may last until their timeouts.
	silent bool
}

// otherTarget serves another target's process: it runs no request for the one that is gone.
func otherTarget(name string, health http.HandlerFunc) successor {
	return successor{name: name, serve: func(t *testing.T, l net.Listener) {
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/health" {
				health(w, r)
				return
			}
			w.Header().Set("Id", r.Header.Get("Id"))
			w.WriteHeader(http.StatusMisdirectedRequest)
		})}
		go func() { _ = server.Serve(l) }()
		t.Cleanup(func() { _ = server.Close() })
	}}
}

func endEach(end func(*net.TCPConn)) func(*testing.T, net.Listener) {
	return func(_ *testing.T, l net.Listener) {
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				end(c.(*net.TCPConn))
			}
		}()
	}
}

var successors = []successor{
	{"closes at once", endEach(func(c *net.TCPConn) { _ = c.Close() }), false},
	{"resets", endEach(func(c *net.TCPConn) { _ = c.SetLinger(0); _ = c.Close() }), false},
	{"never answers", func(*testing.T, net.Listener) {}, true}, // the backlog accepts
	otherTarget("another target, healthy", respond(200, "", "Instance", "other")),
	otherTarget("another target, not healthy", respond(503, "", "Instance", "other")),
	otherTarget("misdirected", respond(421, "")),
	otherTarget("misdirected by another target", respond(421, "", "Instance", "other")),
	otherTarget("names no target", respond(200, "")),
}

// replaceBy makes a successor take over the address of a target.
func replaceBy(t *testing.T, s *target, by successor) {
	t.Helper()
	_ = s.Listener.Close()
	l, err := net.Listen("tcp", s.Listener.Addr().String())
	if err != nil {
		t.Error(err)
		return
	}
	t.Cleanup(func() { _ = l.Close() })
	by.serve(t, l)
}

// callTimeout is the timeout of a call; it ends within maxCallTime.
const (
	callTimeout = 1500 * time.Millisecond
	maxCallTime = callTimeout + time.Second
)

var unframedCases = []struct{ name, path, contentType, body string }{
	{"plain, may run once", "/once/", "text/plain", "half"},
	{"plain, repeatable", "/safe/", "text/plain", "half"},
	{"stream", "/stream/", eventStream, "id: 1\ndata: a\n\n"},
	{"stream, resumable", "/resume/", eventStream, "id: 1\ndata: a\n\n"},
	{"over the buffer limit", "/safe/", "text/plain", strings.Repeat("x", 2<<20)},
}

// expectIncomplete checks that the response to a call does not look complete, and that
// nothing says that the request did not run. n counts the requests that targets have read.
func expectIncomplete(t *testing.T, f *fixture, path string, n func() int) {
	t.Helper()
	started := time.Now()
	got := f.call(t, path, "Timeout-Ms", fmt.Sprint(callTimeout.Milliseconds()))
	if n() == 0 {
		t.Fatalf("no target has read the request: %+v", got)
	}
	if got.status == 200 && got.err == nil {
		t.Errorf("a response of %d bytes looks complete", len(got.body))
	} else if got.header.Get("Ran") == "not_run" {
		t.Error("refused with not_run, although the target ran the request")
	}
	if took := time.Since(started); took > maxCallTime {
		t.Errorf("the call took %s", took)
	}
}

// resumption is where the first and the second target of a stream are.
type resumption string

var resumptions = []resumption{"both local", "local, then forwarded", "forwarded, then local"}

// start returns a gateway with two targets, each with the script of one handler.
func (r resumption) start(t *testing.T, script func(s *target) http.HandlerFunc) *fixture {
	t.Helper()
	first, second := newTarget(t), newTarget(t)
	first.script, second.script = []http.HandlerFunc{script(first)}, []http.HandlerFunc{script(second)}
	switch r {
	case "local, then forwarded":
		f := forwardTo(t, start(t, second))
		f.announceLocal(first)
		return f
	case "forwarded, then local":
		var f *fixture
		first.script = []http.HandlerFunc{func(w http.ResponseWriter, r *http.Request) {
			f.announceLocal(second)
			script(first)(w, r)
		}}
		f = forwardTo(t, start(t, first))
		return f
	}
	return start(t, first, second)
}

// Guards against a part of a response that looks complete because something accepts
// connections at the address of the target that is gone.
func TestConnectionThatOpensDoesNotConfirmAnEnd(t *testing.T) {
	for _, by := range successors {
		for _, c := range unframedCases {
			for _, forwarded := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %s, forwarded %v", by.name, c.name, forwarded), func(t *testing.T) {
					if by.silent {
						t.Parallel()
					}
					s := newTarget(t)
					s.script = []http.HandlerFunc{func(w http.ResponseWriter, r *http.Request) {
						replaceBy(t, s, by)
						unframed(t, c.contentType, c.body)(w, r)
					}}
					f := start(t, s)
					if forwarded {
						f = forwardTo(t, f)
					}
					expectIncomplete(t, f, c.path, s.count)
				})
			}
		}
	}
}

// Guards against a stream that ends at a target that is gone, although another target could
// go on, because something accepts connections at the address of the first one.
func TestStreamContinuesAfterUnconfirmedEnd(t *testing.T) {
	for _, by := range successors {
		for _, places := range resumptions {
			t.Run(fmt.Sprintf("%s, %s", by.name, places), func(t *testing.T) {
				if by.silent {
					t.Parallel()
				}
				var requests atomic.Int64
				f := places.start(t, func(s *target) http.HandlerFunc {
					return func(w http.ResponseWriter, r *http.Request) {
						if requests.Add(1) > 1 {
							unframed(t, eventStream, "id: 2\ndata: b\n\n")(w, r)
							return
						}
						replaceBy(t, s, by)
						unframed(t, eventStream, "id: 1\ndata: a\n\n")(w, r)
					}
				})
				if got := f.call(t, "/resume/"); got.status != 200 || got.err != nil || got.body != twoEvents {
					t.Errorf("status %d, error %v, stream %q after %d requests", got.status, got.err, got.body, requests.Load())
				}
			})
		}
	}
}

// Guards against a resumed stream that looks complete because the rest of it, from a target
// that is gone behind an address that accepts connections, has no event.
func TestEmptyRestOfCrashedTarget(t *testing.T) {
	for _, by := range successors {
		for _, places := range resumptions {
			t.Run(fmt.Sprintf("%s, %s", by.name, places), func(t *testing.T) {
				if by.silent {
					t.Parallel()
				}
				var requests atomic.Int64
				f := places.start(t, func(s *target) http.HandlerFunc {
					return func(w http.ResponseWriter, r *http.Request) {
						switch requests.Add(1) {
						case 1:
							typed(eventStream, events(true, 1))(w, r)
						case 2:
							replaceBy(t, s, by)
							unframed(t, eventStream, "")(w, r)
						default:
							hangUp(w, r)
						}
					}
				})
				expectIncomplete(t, f, "/resume/", func() int { return int(requests.Load()) })
				if n := requests.Load(); n < 2 {
					t.Errorf("%d requests reached the targets; the stream was not resumed", n)
				}
			})
		}
	}
}

// Guards against a resumed stream that looks broken off although the target of its empty rest
// answers the request that confirms the end.
func TestEmptyRestIsWhole(t *testing.T) {
	for _, places := range resumptions {
		t.Run(string(places), func(t *testing.T) {
			var requests atomic.Int64
			f := places.start(t, func(*target) http.HandlerFunc {
				return func(w http.ResponseWriter, r *http.Request) {
					if requests.Add(1) == 1 {
						typed(eventStream, events(true, 1))(w, r)
						return
					}
					unframed(t, eventStream, "")(w, r)
				}
			})
			if got := f.call(t, "/resume/"); got.status != 200 || got.err != nil || got.body != "id: 1\ndata: 1\n\n" || requests.Load() != 2 {
				t.Errorf("status %d, error %v, stream %q after %d requests", got.status, got.err, got.body, requests.Load())
			}
		})
	}
}

// Guards against a whole response that looks broken off although its target answers the
// request that confirms the end, whatever it says about its health.
func TestTargetThatAnswersConfirmsAnEnd(t *testing.T) {
	for _, health := range []int{200, 503} {
		for _, c := range unframedCases {
			for _, forwarded := range []bool{false, true} {
				t.Run(fmt.Sprintf("health %d, %s, forwarded %v", health, c.name, forwarded), func(t *testing.T) {
					s := &target{script: []http.HandlerFunc{unframed(t, c.contentType, c.body)}}
					s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
						if r.URL.Path != "/health" {
							s.ServeHTTP(w, r)
							return
						}
						w.Header().Set("Instance", r.Header.Get("Target"))
						w.WriteHeader(health)
					}))
					t.Cleanup(s.Server.Close)
					f := start(t, s)
					if forwarded {
						f = forwardTo(t, f)
					}
					if got := f.call(t, c.path); got.status != 200 || got.err != nil || got.body != c.body {
						t.Errorf("status %d, error %v, %d bytes of %d", got.status, got.err, len(got.body), len(c.body))
					}
					if s.count() != 1 {
						t.Errorf("%d requests, want 1", s.count())
					}
				})
			}
		}
	}
}
