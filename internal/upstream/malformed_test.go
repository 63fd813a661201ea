package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"geraniumturn.example/geraniumturn/internal/upstream"
)

// rawAnswer serves one response to the first request and returns what the caller gets of it.
// With closes the target ends the connection, otherwise it leaves it open.
func rawAnswer(t *testing.T, method, response string, closes bool) (*upstream.Response, string, error) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	t.Cleanup(func() { close(done); _ = listener.Close() })
	go func() {
		for first := true; ; first = false {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				if !first { // asked to confirm the end of an unframed response
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
					return
				}
				_, _ = io.WriteString(c, response) // the test checks what arrives
				if !closes {
					<-done
				}
			}()
		}
	}()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	res, err := upstream.NewPool(time.Second).Do(ctx, &upstream.Request{Address: listener.Addr().String(), Method: method, RequestURI: "/", Host: "h", Confirm: confirm})
	if err != nil {
		return nil, "", err
	}
	t.Cleanup(func() { _ = res.Close() })
	body, err := io.ReadAll(res)
	return res, string(body), err
}

// checkBroken fails if a response is passed on, whole or in part.
func checkBroken(t *testing.T, method, response string) {
	t.Helper()
	for _, closes := range []bool{false, true} {
		res, body, err := rawAnswer(t, method, response, closes)
		if res != nil {
			t.Errorf("closed %v: status %d, header %v, length %d, body %q, %v", closes, res.Status, res.Header, res.Length, body, err)
		} else if !errors.Is(err, upstream.ErrBroken) || errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("closed %v: %v", closes, err)
		}
	}
}

// Guards against a status that is none, or a version that is not HTTP/1, passed on as an
// answer, or skipped as an interim response so that another response is taken in its place.
func TestMalformedStatusIsNoAnswer(t *testing.T) {
	const rest = "\r\nContent-Length: 2\r\n\r\nok"
	const next = "HTTP/1.1 200 OK" + rest
	for _, line := range []string{
		"HTTP/1.1 000 Zero", "HTTP/1.1 099 Low", "HTTP/1.1 600 High", "HTTP/1.1 999 High", "HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 +20 OK", "HTTP/1.1 -20 OK",
		"HTTP/1.1 2x0 OK", "HTTP/1.1  200 OK", "HTTP/1.1\t200 OK", " HTTP/1.1 200 OK", "HTTP/1.1 200\tOK", "HTTP/1.1 200 O\x00K", "HTTP/1.1 200 O\rK", "HTTP/1.1", "HTTP/1.1 ", "",
		"HTTP/2.7 200 OK", "HTTP/2.0 200 OK", "HTTP/0.9 200 OK", "HTTP/1.2 200 OK", "HTTP/1.10 200 OK", "http/1.1 200 OK", "200 OK", "HTTP/1.1 101 Switching Protocols",
	} {
		t.Run(line, func(t *testing.T) {
			t.Parallel()
			checkBroken(t, http.MethodGet, line+rest)
			checkBroken(t, http.MethodGet, line+"\r\n\r\n"+next)
			checkBroken(t, http.MethodGet, line+rest+next)
		})
	}
}

// Guards against a head whose field line has a name or value that is none, passed on with
// that line, or with a body whose end another line was to tell.
func TestMalformedFieldLineIsNoAnswer(t *testing.T) {
	for _, line := range []string{
		"X Y: 1", "Content Length: 2", "Content-Length : 2", "Transfer-Encoding : chunked", "Content-Length\t: 2", " Content-Length: 2", "\tX: 1", ": 1", "X", "X Y",
		"X\x01Y: 1", "X\x00Y: 1", "X\x7fY: 1", "X\x80Y: 1", "X\rY: 1", "X\nY: 1", "\nX: 1", "\rX: 1", "X(Y): 1", "X\"Y: 1", "X/Y: 1",
		"X: a\x00b", "X: a\x01b", "X: a\x7fb", "X: a\rb", "X: a\r", "X: a\nY: b", "X: a\r\n folded", "X: a\r\n\tfolded", "X: \x1b[0m",
	} {
		t.Run(line, func(t *testing.T) {
			t.Parallel()
			checkBroken(t, http.MethodGet, "HTTP/1.1 200 OK\r\nA: b\r\n"+line+"\r\nContent-Length: 2\r\n\r\nok")
			checkBroken(t, http.MethodGet, "HTTP/1.1 200 OK\r\n"+line+"\r\n\r\nok")
			checkBroken(t, http.MethodGet, "HTTP/1.1 103 Early Hints\r\n"+line+"\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		})
	}
}

// Guards against a response whose end depends on who reads it.
func TestAmbiguousFramingIsNoAnswer(t *testing.T) {
	const chunked = "Transfer-Encoding: chunked\r\n"
	for name, response := range map[string]string{
		"length and chunks":         "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" + chunked + "\r\n2\r\nok\r\n0\r\n\r\n",
		"chunks in HTTP/1.0":        "HTTP/1.0 200 OK\r\n" + chunked + "\r\n2\r\nok\r\n0\r\n\r\n",
		"unequal lengths":           "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok",
		"length with a sign":        "HTTP/1.1 200 OK\r\nContent-Length: +2\r\n\r\nok",
		"negative length":           "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\nok",
		"length of no digits":       "HTTP/1.1 200 OK\r\nContent-Length: \r\n\r\nok",
		"hexadecimal length":        "HTTP/1.1 200 OK\r\nContent-Length: 0x2\r\n\r\nok",
		"list of lengths":           "HTTP/1.1 200 OK\r\nContent-Length: 2, 2\r\n\r\nok",
		"length that overflows":     "HTTP/1.1 200 OK\r\nContent-Length: 18446744073709551618\r\n\r\nok",
		"unknown encoding":          "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nok",
		"two encodings":             "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"chunked twice":             "HTTP/1.1 200 OK\r\n" + chunked + chunked + "\r\n2\r\nok\r\n0\r\n\r\n",
		"identity":                  "HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\n\r\nok",
		"204 with a length":         "HTTP/1.1 204 No Content\r\nContent-Length: 2\r\n\r\nok",
		"204 with chunks":           "HTTP/1.1 204 No Content\r\n" + chunked + "\r\n2\r\nok\r\n0\r\n\r\n",
		"interim with a length":     "HTTP/1.1 103 Early Hints\r\nContent-Length: 2\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"interim with chunks":       "HTTP/1.1 103 Early Hints\r\n" + chunked + "\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"length in the trailer":     "HTTP/1.1 200 OK\r\n" + chunked + "Trailer: Content-Length\r\n\r\n2\r\nok\r\n0\r\nContent-Length: 2\r\n\r\n",
		"chunks and a wrong length": "HTTP/1.1 200 OK\r\n" + chunked + "Content-Length: x\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			checkBroken(t, http.MethodGet, response)
		})
	}
	t.Run("204 to HEAD with a length", func(t *testing.T) {
		checkBroken(t, http.MethodHead, "HTTP/1.1 204 No Content\r\nContent-Length: 2\r\n\r\n")
	})
}

// Guards against a body that ends as whole although its framing is broken or its end has not
// arrived.
func TestBodyWithoutItsEnd(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	whole := head + "2\r\nok\r\n10;a=b\r\n0123456789abcdef\r\n0\r\nA: b\r\nC: d\r\n\r\n"
	if _, body, err := rawAnswer(t, http.MethodGet, whole, true); err != nil || body != "ok0123456789abcdef" {
		t.Fatalf("whole: body %q, %v", body, err)
	}
	cases := map[string]string{
		"short of its length":        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok",
		"size with a sign":           head + "+2\r\nok\r\n0\r\n\r\n",
		"size with a blank":          head + "2 \r\nok\r\n0\r\n\r\n",
		"size behind a blank":        head + " 2\r\nok\r\n0\r\n\r\n",
		"size with a prefix":         head + "0x2\r\nok\r\n0\r\n\r\n",
		"size of no digits":          head + "\r\nok\r\n0\r\n\r\n",
		"extension without size":     head + ";a\r\nok\r\n0\r\n\r\n",
		"size that overflows":        head + "10000000000000002\r\nok\r\n0\r\n\r\n",
		"size without CR":            head + "2\nok\r\n0\r\n\r\n",
		"size behind CR":             head + "2\r\r\nok\r\n0\r\n\r\n",
		"control byte in extension":  head + "2;a\x00\r\nok\r\n0\r\n\r\n",
		"LF in extension":            head + "2;a\nok\r\n0\r\n\r\n",
		"chunk longer than its size": head + "2\r\nokay\r\n0\r\n\r\n",
		"chunk without CRLF":         head + "2\r\nok0\r\n\r\n",
		"chunk with LF":              head + "2\r\nok\n0\r\n\r\n",
		"trailer without colon":      head + "2\r\nok\r\n0\r\nA\r\n\r\n",
		"trailer name with blank":    head + "2\r\nok\r\n0\r\nA : b\r\n\r\n",
		"trailer with control byte":  head + "2\r\nok\r\n0\r\nA: b\x00\r\n\r\n",
		"trailer with LF":            head + "2\r\nok\r\n0\r\nA: b\n\r\n",
		"last chunk without CR":      head + "2\r\nok\r\n0\r\n\n",
		"trailer without end":        head + "2\r\nok\r\n0\r\n" + strings.Repeat("A: b\r\n", 20_000) + "\r\n",
		"extension without end":      head + "2;" + strings.Repeat("a", 100_000) + "\r\nok\r\n0\r\n\r\n",
	}
	for n := len(head); n < len(whole); n++ {
		cases["cut before "+whole[n:]] = whole[:n]
	}
	for name, response := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if _, body, err := rawAnswer(t, http.MethodGet, response, true); !errors.Is(err, upstream.ErrBroken) {
				t.Errorf("body %q, error %v", body, err)
			}
		})
	}
}

// Guards against sound responses that are refused, and against a changed reading of their
// status, header, length and body.
func TestSoundHeads(t *testing.T) {
	for name, c := range map[string]struct {
		method, response string
		status           int
		length           int64
		unframed         bool
		body             string
	}{
		"length":                 {"GET", "HTTP/1.1 200 OK\r\nx-a:  b \t\r\nContent-Length: 2\r\n\r\nok", 200, 2, false, "ok"},
		"no reason":              {"GET", "HTTP/1.1 599 \r\nX-A: b\r\nContent-Length: 2\r\n\r\nok", 599, 2, false, "ok"},
		"no reason, no blank":    {"GET", "HTTP/1.1 200\r\nX-A: b\r\nContent-Length: 2\r\n\r\nok", 200, 2, false, "ok"},
		"same length twice":      {"GET", "HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nok", 200, 2, false, "ok"},
		"chunks":                 {"GET", "HTTP/1.1 200 OK\r\nX-A: b\r\nTransfer-Encoding: Chunked\r\n\r\n2\r\nok\r\n00\r\nA: b\r\n\r\n", 200, -1, false, "ok"},
		"neither":                {"GET", "HTTP/1.1 200 OK\r\nX-A: b\r\n\r\nok", 200, -1, true, "ok"},
		"HTTP/1.0":               {"GET", "HTTP/1.0 200 OK\r\nX-A: b\r\n\r\nok", 200, -1, true, "ok"},
		"interim":                {"GET", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: 2\r\n\r\nok", 200, 2, false, "ok"},
		"204":                    {"GET", "HTTP/1.1 204 No Content\r\nX-A: b\r\n\r\n", 204, 0, false, ""},
		"204 with length 0":      {"GET", "HTTP/1.1 204 No Content\r\nX-A: b\r\nContent-Length: 0\r\n\r\n", 204, 0, false, ""},
		"304 with length":        {"GET", "HTTP/1.1 304 Not Modified\r\nX-A: b\r\nContent-Length: 2\r\n\r\n", 304, 0, false, ""},
		"HEAD with length":       {"HEAD", "HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: 2\r\n\r\n", 200, 2, false, ""},
		"HEAD with chunks":       {"HEAD", "HTTP/1.1 200 OK\r\nX-A: b\r\nTransfer-Encoding: chunked\r\n\r\n", 200, -1, false, ""},
		"bytes beyond ASCII":     {"GET", "HTTP/1.1 200 Très\r\nX-A: b\r\nX-B: é\tü\r\nContent-Length: 2\r\n\r\nok", 200, 2, false, "ok"},
		"empty value":            {"GET", "HTTP/1.1 200 OK\r\nX-A:b\r\nX-B:\r\nContent-Length:2\r\n\r\nok", 200, 2, false, "ok"},
		"all characters of name": {"GET", "HTTP/1.1 200 OK\r\nX-A: b\r\n!#$%&'*+-.^_`|~09azAZ: c\r\nContent-Length: 2\r\n\r\nok", 200, 2, false, "ok"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			res, body, err := rawAnswer(t, c.method, c.response, true)
			if err != nil || res.Status != c.status || res.Length != c.length || res.Unframed != c.unframed || body != c.body || res.Header.Get("X-A") != "b" {
				t.Errorf("response %+v, body %q, error %v", res, body, err)
			}
		})
	}
}

// Guards against two readings of a bare LF. RFC 9112 (2.2) lets a recipient take it as the end
// of a line, and a head that uses nothing else has one reading. In a head whose status line
// ends with CRLF it can be a part of a name or value, and the rest of that another line, or
// the body.
func TestBareLineFeed(t *testing.T) {
	res, body, err := rawAnswer(t, http.MethodGet, "HTTP/1.1 200 OK\nX-A: b\nContent-Length: 2\n\nok", true)
	if err != nil || body != "ok" || res.Header.Get("X-A") != "b" {
		t.Errorf("response %+v, body %q, error %v", res, body, err)
	}
	for _, response := range []string{
		"HTTP/1.1 200 OK\r\nX-A: b\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: 2\r\n\nok",
		"HTTP/1.1 200 OK\r\nX-A: b\r\n\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\nX-A: b\r\nContent-Length: 2\n\nok",
		"HTTP/1.1 200 OK\nX-A: b\nContent-Length: 2\n\r\nok",
	} {
		checkBroken(t, http.MethodGet, response)
	}
}

// Guards against bytes behind a response without a body that are taken for the response to the
// next request on its connection.
func TestBytesBehindResponseWithoutBody(t *testing.T) {
	const surplus = "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 0\r\n\r\n"
	for _, head := range []string{"HTTP/1.1 204 No Content\r\nId: ID\r\n\r\n", "HTTP/1.1 204 No Content\r\nId: ID\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 304 Not Modified\r\nId: ID\r\nContent-Length: 2\r\n\r\n"} {
		s, p := serve(t, head+surplus), upstream.NewPool(time.Second)
		for range 3 {
			res, err := p.Do(t.Context(), request(s, "a"))
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(res)
			if res.Status == http.StatusOK || len(body) > 0 || err != nil {
				t.Errorf("%q: status %d, body %q, %v", head, res.Status, body, err)
			}
			_ = res.Close()
		}
		if n := s.connections.Load(); n != 3 {
			t.Errorf("%q: %d connections, want 3", head, n)
		}
	}
}
