package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
)

// malformedHeads are responses whose head is malformed; ID stands for that of the request.
var malformedHeads = map[string]string{
	"status 000":              "HTTP/1.1 000 Zero\r\nId: ID\r\nSigned: sig\r\nContent-Length: 2\r\n\r\nno",
	"status 000, no body":     "HTTP/1.1 000 Zero\r\nId: ID\r\nSigned: sig\r\n\r\n",
	"status 000, then 200":    "HTTP/1.1 000 Zero\r\n\r\nHTTP/1.1 200 OK\r\nId: ID\r\nSigned: sig\r\nContent-Length: 2\r\n\r\nno",
	"status 999":              "HTTP/1.1 999 High\r\nId: ID\r\nSigned: sig\r\nContent-Length: 2\r\n\r\nno",
	"HTTP/2.7":                "HTTP/2.7 200 OK\r\nId: ID\r\nSigned: sig\r\nContent-Length: 2\r\n\r\nno",
	"name with blank":         "HTTP/1.1 200 OK\r\nId: ID\r\nSigned: sig\r\nX Odd: 1\r\nContent-Length: 2\r\n\r\nno",
	"name with control byte":  "HTTP/1.1 200 OK\r\nId: ID\r\nSigned: sig\r\nX\x01Odd: 1\r\nContent-Length: 2\r\n\r\nno",
	"name with LF":            "HTTP/1.1 200 OK\r\nId: ID\r\nSigned: sig\r\n\nX-Odd: 1\r\nContent-Length: 2\r\n\r\nno",
	"length behind a blank":   "HTTP/1.1 200 OK\r\nId: ID\r\nSigned: sig\r\nContent-Length : 2\r\n\r\nno",
	"length with a blank":     "HTTP/1.1 200 OK\r\nId: ID\r\nSigned: sig\r\nContent Length: 2\r\n\r\nno",
	"encoding behind a blank": "HTTP/1.1 200 OK\r\nId: ID\r\nSigned: sig\r\nTransfer-Encoding : chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n",
	"length and chunks":       "HTTP/1.1 200 OK\r\nId: ID\r\nSigned: sig\r\nContent-Length: 12\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n",
	"204 with a body":         "HTTP/1.1 204 No Content\r\nId: ID\r\nSigned: sig\r\nContent-Length: 2\r\n\r\nno",
}

// answerRaw writes a response as it stands and ends the connection in order.
func answerRaw(t *testing.T, response string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer func() { _ = conn.Close() }()
		_, _ = io.WriteString(conn, strings.ReplaceAll(response, "ID", r.Header.Get("Id")))
	}
}

// Guards against a response with a malformed head that is passed on, with its odd line or
// with bytes that are not its body. A request that can be repeated goes to another target,
// any other one ends without an answer of that target.
func TestMalformedHeadIsNoAnswer(t *testing.T) {
	for name, head := range malformedHeads {
		for _, forwarded := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, forwarded %v", name, forwarded), func(t *testing.T) {
				t.Parallel()
				bad, good := newTarget(t, answerRaw(t, head)), newTarget(t, success)
				f := start(t, bad, good)
				if forwarded {
					f = forwardTo(t, f)
				}
				for range 12 { // until the target has been asked
					got := f.call(t, "/safe/")
					served := got.status == http.StatusOK && got.body == "whole"
					// The host that forwards a request does not repeat it once it may have run.
					refused := forwarded && got.status == http.StatusServiceUnavailable && got.header.Get("Ran") == "unknown"
					if !served && !refused {
						t.Fatalf("request that can be repeated: %+v", got)
					}
					if bad.count() > 0 {
						break
					}
				}
				if bad.count() == 0 {
					t.Fatal("the target was not asked")
				}
				only := newTarget(t, answerRaw(t, head))
				f = start(t, only)
				if forwarded {
					f = forwardTo(t, f)
				}
				for _, path := range []string{"/safe/", "/once/", "/stream/", "/resume/"} {
					got := f.call(t, path)
					if got.err == nil && got.status < http.StatusInternalServerError || strings.Contains(got.body, "no") || got.header.Get("Signed") != "" {
						t.Errorf("%s: %+v", path, got)
					}
					for field := range got.header {
						if strings.Contains(field, "Odd") || strings.Contains(field, " ") {
							t.Errorf("%s: field %q", path, field)
						}
					}
				}
				if only.count() == 0 {
					t.Error("the target was not asked")
				}
			})
		}
	}
}
