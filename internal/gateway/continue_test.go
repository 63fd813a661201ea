package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"geraniumturn.example/geraniumturn/internal/clock"
	"geraniumturn.example/geraniumturn/internal/fleetsync"
	"geraniumturn.example/geraniumturn/internal/fleetsync/syncpb"
	"geraniumturn.example/geraniumturn/internal/registry"
)

// typed sets the content type of a response.
func typed(contentType string, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", contentType)
		next(w, r)
	}
}

// raw writes bytes in place of a response, with the id of the request for ID, and ends the
// connection; reset ends it with a reset.
func raw(text string, reset bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, strings.ReplaceAll(text, "ID", r.Header.Get("Id")))
		if tcp, ok := conn.(*net.TCPConn); ok && reset {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

// noContinuation are responses to a request to resume a stream that do not continue it.
func noContinuation() map[string]http.HandlerFunc {
	const text = "an error\n\nHTTP/1.1 500 Oops\r\nX: y\r\n\r\nid: 3\ndata: error\n\n"
	const framed = "Id: ID\r\nSigned: sig\r\nContent-Type: text/event-stream\r\n"
	return map[string]http.HandlerFunc{
		"rejected, with text":             respond(503, text, "Not-Run", "1"),
		"rejected early, as an event":     typed(eventStream, respond(503, "id: 3\ndata: error\n\n", "Not-Run", "1")),
		"misdirected":                     respond(421, text, "Not-Run", "1"),
		"signed 500":                      respond(500, text, "Signed", "sig"),
		"signed 500, as an event":         typed(eventStream, respond(500, "id: 3\ndata: error\n\n", "Signed", "sig")),
		"signed 404":                      respond(404, text, "Signed", "sig"),
		"signed 504":                      respond(504, text, "Signed", "sig"),
		"signed 301":                      respond(301, "", "Signed", "sig", "Location", "/elsewhere"),
		"unsigned 502":                    respond(502, text),
		"unsigned 400":                    respond(400, text),
		"unsigned 200":                    typed(eventStream, respond(200, text)),
		"signed 200, text":                typed("text/plain", respond(200, text, "Signed", "sig")),
		"signed 200, JSON":                typed("application/json", respond(200, "{\"error\":\"x\"}\n\n", "Signed", "sig")),
		"signed 200, empty text":          typed("text/plain", respond(200, "", "Signed", "sig")),
		"signed 200, text without a type": typed("", respond(200, text, "Signed", "sig")),
		"signed 202, as an event":         typed(eventStream, respond(202, "id: 3\ndata: later\n\n", "Signed", "sig")),
		"signed 204":                      respond(204, "", "Signed", "sig"),
		"signed 205":                      typed(eventStream, respond(205, "", "Signed", "sig")),
		"signed 206":                      typed(eventStream, respond(206, "id: 3\ndata: 3\n\n", "Signed", "sig")),
		"another request":                 typed(eventStream, respond(200, "id: 3\ndata: error\n\n", "Signed", "sig", "Id", "other", "Connection", "close")),
		"no id":                           raw("HTTP/1.1 200 OK\r\n"+strings.Replace(framed, "Id: ID\r\n", "", 1)+"Content-Length: 20\r\n\r\nid: 3\ndata: error\n\n\n", false),
		"bytes, no response":              raw(text, false),
		"bytes, no text":                  raw("\x00\xff\xfe\r\n\r\n", false),
		"head only":                       raw("HTTP/1.1 200 OK\r\n"+framed, false),
		"shorter than its length":         raw("HTTP/1.1 200 OK\r\n"+framed+"Content-Length: 99\r\n\r\nan error", false),
		"chunks without an end":           raw("HTTP/1.1 200 OK\r\n"+framed+"Transfer-Encoding: chunked\r\n\r\n8\r\nan error\r\n", false),
		"chunks that are none":            raw("HTTP/1.1 200 OK\r\n"+framed+"Transfer-Encoding: chunked\r\n\r\nan error\r\n\r\n", false),
		"unframed text within an event":   raw("HTTP/1.1 200 OK\r\n"+framed+"\r\nan error", false),
		"event without an end":            typed(eventStream, respond(200, "data: error", "Signed", "sig")),
		"reset":                           raw("", true),
		"reset within the head":           raw("HTTP/1.1 200 OK\r\nId", true),
		"closed":                          hangUp,
	}
}

// Guards against the text of an error, or its head, within a stream that broke off and
// that its next target answers with the error, and against such a stream that looks
// complete.
func TestResponseThatDoesNotContinueStream(t *testing.T) {
	begin := typed(eventStream, events(true, 1, 2))
	rest := typed(eventStream, events(false, 3))
	const twoOfThree = "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n"
	for name, bad := range noContinuation() {
		t.Run(name+", no other target", func(t *testing.T) {
			s := newTarget(t, begin, bad)
			got := start(t, s, s, s).call(t, "/resume/")
			if got.status != 200 || got.err == nil || got.body != twoOfThree {
				t.Errorf("status %d, error %v, stream %q", got.status, got.err, got.body)
			}
			if s.count() < 2 {
				t.Error("the stream was not resumed")
			}
		})
		t.Run(name+", another target", func(t *testing.T) {
			s := newTarget(t, begin, bad, rest)
			if got := start(t, s, s, s).call(t, "/resume/"); got.status != 200 || got.err != nil || got.body != threeEvents {
				t.Errorf("status %d, error %v, stream %q", got.status, got.err, got.body)
			}
		})
		t.Run(name+", forwarded", func(t *testing.T) {
			first, second := newTarget(t, begin), newTarget(t, bad)
			f := forwardTo(t, start(t, second))
			f.announceLocal(first)
			got := f.call(t, "/resume/")
			if got.status != 200 || got.err == nil || got.body != twoOfThree {
				t.Errorf("status %d, error %v, stream %q", got.status, got.err, got.body)
			}
			if first.count() != 1 || second.count() != 1 {
				t.Errorf("%d and %d requests", first.count(), second.count())
			}
		})
	}
	for name, bad := range noContinuation() {
		t.Run(name+", after a forwarded beginning", func(t *testing.T) {
			second := newTarget(t, bad)
			var f *fixture
			first := newTarget(t, func(w http.ResponseWriter, r *http.Request) {
				f.announceLocal(second)
				begin(w, r)
			})
			f = forwardTo(t, start(t, first))
			got := f.call(t, "/resume/")
			if got.status != 200 || got.err == nil || got.body != twoOfThree || first.count() != 1 || second.count() != 1 {
				t.Errorf("status %d, error %v after %d and %d requests, stream %q", got.status, got.err, first.count(), second.count(), got.body)
			}
		})
	}
	t.Run("forwarded, whole", func(t *testing.T) {
		first, second := newTarget(t, begin), newTarget(t, rest)
		f := forwardTo(t, start(t, second))
		f.announceLocal(first)
		if got := f.call(t, "/resume/"); got.err != nil || got.body != threeEvents || first.count() != 1 {
			t.Errorf("error %v, stream %q", got.err, got.body)
		}
	})
	t.Run("nothing is left", func(t *testing.T) {
		s := newTarget(t, begin, typed(eventStream, respond(200, "", "Signed", "sig")))
		if got := start(t, s, s, s).call(t, "/resume/"); got.err != nil || got.body != twoOfThree {
			t.Errorf("error %v, stream %q", got.err, got.body)
		}
	})
}

// announceLocal makes a target of the gateway's own region known.
func (f *fixture) announceLocal(s *target) {
	now := clock.SinceBoot()
	f.Apply(now, fleetsync.Update{SentAt: now, ControlAddress: "c", ExchangeResponse: &syncpb.ExchangeResponse{}, Records: []registry.Record{{ID: "local", Sequence: 1,
		Service: "s", DataCentre: "dc", State: registry.Ready, Address: strings.TrimPrefix(s.URL, "http://")}}})
}

// Guards against an error of a target that is appended to a stream that cannot be resumed,
// local or forwarded, and against one that looks complete.
func TestBrokenStreamIsNotContinued(t *testing.T) {
	for name, bad := range noContinuation() {
		for _, forwarded := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, forwarded %v", name, forwarded), func(t *testing.T) {
				s := newTarget(t, typed(eventStream, events(true, 1, 2)), bad)
				f := start(t, s, s, s)
				if forwarded {
					f = forwardTo(t, f)
				}
				got := f.call(t, "/stream/")
				if got.status != 200 || got.err == nil || !strings.HasPrefix("id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 99\nda", got.body) || s.count() != 1 {
					t.Errorf("status %d, error %v after %d requests, stream %q", got.status, got.err, s.count(), got.body)
				}
			})
		}
	}
}

// Guards against events that are repeated when a stream whose events have no ids is begun
// again at another target.
func TestStreamWithoutIDsIsNotResumed(t *testing.T) {
	unnumbered := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Signed", "sig")
		_, _ = io.WriteString(w, ": comment\n\ndata: a\n\n")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	for _, forwarded := range []bool{false, true} {
		s := newTarget(t, typed(eventStream, unnumbered), typed(eventStream, respond(200, "data: a\n\ndata: b\n\n", "Signed", "sig")))
		f := start(t, s, s, s)
		if forwarded {
			f = forwardTo(t, f)
		}
		if got := f.call(t, "/resume/"); got.err == nil || got.body != ": comment\n\ndata: a\n\n" || s.count() != 1 {
			t.Errorf("forwarded %v: error %v after %d requests, stream %q", forwarded, got.err, s.count(), got.body)
		}
	}
}

// cutHead answers with a part of the head of a whole response and closes the connection.
func cutHead(contentType string, bytes int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: %s\r\nId: %s\r\nSigned: sig\r\nContent-Length: 120\r\n\r\n", contentType, r.Header.Get("Id"))
		_, _ = io.WriteString(conn, head[:min(bytes, len(head)-1)])
		_ = conn.Close()
	}
}

// Guards against the part of a head that a target sent before it closed its connection,
// which reaches the caller as a success with an empty or short body.
func TestTargetStopsInHeadOfResponse(t *testing.T) {
	for path, contentType := range map[string]string{"/once/": "text/plain", "/safe/": "text/plain", "/stream/": "text/event-stream", "/resume/": "text/event-stream"} {
		for _, forwarded := range []bool{false, true} {
			for _, bytes := range []int{1, 12, 15, 17, 24, 40, 55, 62, 70, 80, 88, 92, 94, 1000} {
				t.Run(fmt.Sprintf("%s forwarded %v after %d bytes", path[1:], forwarded, bytes), func(t *testing.T) {
					t.Parallel()
					s := newTarget(t, cutHead(contentType, bytes), cutHead(contentType, bytes), cutHead(contentType, bytes))
					f := start(t, s)
					if forwarded {
						f = forwardTo(t, f)
					}
					got := f.call(t, path, "Id", "i1")
					if got.err == nil && got.status < http.StatusInternalServerError || got.header.Get("Ran") == "not_run" {
						t.Errorf("response %+v", got)
					}
				})
			}
		}
	}
}

// Guards against an event that a resumed stream has twice: the target breaks off after events
// of which some end in CRLF and some in LF.
func TestMixedLineEndsAreSeparateEvents(t *testing.T) {
	var requests atomic.Int64
	respond := typed(eventStream, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Signed", "sig")
		if requests.Add(1) == 1 {
			_, _ = io.WriteString(w, "id: 1\r\ndata: 1\r\n\r\nid: 2\ndata: 2\n\n")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		last, _ := strconv.Atoi(r.Header.Get("Last"))
		for id := last + 1; id <= 3; id++ {
			fmt.Fprintf(w, "id: %d\ndata: %d\n\n", id, id)
		}
	})
	got := start(t, newTarget(t, respond), newTarget(t, respond)).call(t, "/resume/")
	if want := "id: 1\r\ndata: 1\r\n\r\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\n"; got.status != 200 || got.err != nil || got.body != want {
		t.Errorf("status %d, error %v, stream %q", got.status, got.err, got.body)
	}
}

// Guards against events that a caller has had before it resumes its stream, from a target that
// ignores after which event it is to go on.
func TestResumingCallerGetsNoEventTwice(t *testing.T) {
	for last, want := range map[string]string{"2": "id: 3\ndata: 3\n\n", "3": ""} {
		t.Run("after event "+last, func(t *testing.T) {
			f := start(t, newTarget(t, typed(eventStream, events(false, 1, 2, 3))))
			f.OriginClient = fixedAnswer{Complete: true, Versions: []string{""}, Regions: bothRegions}
			if got := f.call(t, "/resume/", "Last", last); got.status != 200 || got.err != nil || got.body != want || got.header.Get("Signed") != "sig" {
				t.Errorf("status %d, error %v, stream %q, header %v", got.status, got.err, got.body, got.header)
			}
		})
	}
}
