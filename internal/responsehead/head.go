// Package responsehead reads HTTP/1 responses strictly. A response that another reader could
// take for a different one is malformed: its status, its header and the end of its body have
// one reading, or it is no response.
package responsehead

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
)

// ErrMalformed means that bytes are no response.
var ErrMalformed = errors.New("malformed response")

func malformed(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrMalformed, fmt.Sprintf(format, args...))
}

// Head is the head of a response.
type Head struct {
	Status int
	// Header has canonical names. It has one Content-Length at most, no Transfer-Encoding, in
	// HTTP/1.1 no "Connection: close", and with chunks no Trailer.
	Header http.Header
	// Length is the length of the body, or -1 if the head does not tell it. In the response to
	// a HEAD request it is that of the body that is left out.
	Length int64
	// Chunked means that a body is sent in chunks.
	Chunked bool
	// HasBody is false if the response has no body, whatever its header says.
	HasBody bool
	// Close means that the connection ends with the response.
	Close bool

	minorVersion byte
}

// Unframed reports whether the body ends with its connection, since it has neither a length nor
// chunks.
func (h *Head) Unframed() bool { return h.HasBody && h.Length < 0 && !h.Chunked }

// IsInterim reports whether another response to the same request follows.
func (h *Head) IsInterim() bool { return h.Status < http.StatusOK }

// Parser takes the lines of one head.
type Parser struct {
	method string
	head   *Head
	// lineEnd is that of the status line. RFC 9112 (2.2) allows a bare LF as the end of a line,
	// but in a head with CRLF it may be a part of a name or value.
	lineEnd string
}

// NewParser returns a parser for the head of a response to a request with the method.
func NewParser(method string) *Parser { return &Parser{method: method} }

// Line takes the next line, which ends with LF. It returns the head after its last line.
func (p *Parser) Line(line []byte) (*Head, error) {
	if p.head == nil {
		p.lineEnd = "\n"
		if bytes.HasSuffix(line, []byte("\r\n")) {
			p.lineEnd = "\r\n"
		}
	}
	line, ok := bytes.CutSuffix(line, []byte(p.lineEnd))
	if !ok {
		return nil, malformed("line that does not end like the status line")
	}
	if p.head == nil {
		head, err := parseStatusLine(line)
		p.head = head
		return nil, err
	}
	if len(line) > 0 {
		return nil, p.head.addField(line)
	}
	if err := p.head.frame(p.method); err != nil {
		return nil, err
	}
	return p.head, nil
}

const versionLength = len("HTTP/1.1")

func parseStatusLine(line []byte) (*Head, error) {
	const codeEnd = versionLength + len(" 200")
	if len(line) < codeEnd || !bytes.HasPrefix(line, []byte("HTTP/1.")) || line[versionLength] != ' ' {
		return nil, malformed("status line %.40q", line)
	}
	version, code, reason := line[versionLength-1], line[versionLength+1:codeEnd], line[codeEnd:]
	if version != '0' && version != '1' {
		return nil, malformed("status line %.40q", line)
	}
	if len(reason) > 0 && reason[0] != ' ' || hasControl(reason) {
		return nil, malformed("status line %.40q", line)
	}
	status, ok := parseDigits(code)
	if !ok || status < 100 || status > 599 {
		return nil, malformed("status %q", code)
	}
	if status == http.StatusSwitchingProtocols {
		return nil, malformed("status %d without a request for it", status)
	}
	return &Head{Status: int(status), Header: http.Header{}, minorVersion: version}, nil
}

// parseDigits returns the number that consists of nothing but decimal digits.
func parseDigits(b []byte) (int64, bool) {
	for _, c := range b {
		if c < '0' || c > '9' {
			return 0, false
		}
	}
	n, err := strconv.ParseInt(string(b), 10, 64)
	return n, err == nil
}

func (h *Head) addField(line []byte) error {
	name, value, err := parseField(line)
	if err != nil {
		return err
	}
	h.Header[name] = append(h.Header[name], value)
	return nil
}

// parseField returns the canonical name and the value of a field line without its end.
func parseField(line []byte) (name, value string, err error) {
	rawName, rawValue, ok := bytes.Cut(line, []byte(":"))
	if !ok || !isToken(rawName) {
		return "", "", malformed("field line %.40q", line)
	}
	if hasControl(rawValue) {
		return "", "", malformed("value of the field %.40q", rawName)
	}
	return textproto.CanonicalMIMEHeaderKey(string(rawName)), string(bytes.Trim(rawValue, " \t")), nil
}

func isToken(b []byte) bool {
	for _, c := range b {
		if !isTokenByte[c] {
			return false
		}
	}
	return len(b) > 0
}

var isTokenByte = func() (is [256]bool) {
	for c := range is {
		is[c] = '0' <= c && c <= '9' || 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || strings.IndexByte("!#$%&'*+-.^_`|~", byte(c)) >= 0
	}
	return is
}()

// hasControl reports whether a value has a control byte other than a tab.
func hasControl(b []byte) bool {
	for _, c := range b {
		if c < ' ' && c != '\t' || c == 0x7f {
			return true
		}
	}
	return false
}

// frame sets what the header says of the body and the connection.
func (h *Head) frame(method string) error {
	length, err := h.takeLength()
	if err != nil {
		return err
	}
	if err := h.takeEncoding(); err != nil {
		return err
	}
	if h.Chunked && length >= 0 {
		return malformed("length and chunks")
	}
	if h.Chunked {
		if err := h.takeTrailer(); err != nil {
			return err
		}
	}
	neverHasBody := h.IsInterim() || h.Status == http.StatusNoContent
	if neverHasBody && (h.Chunked || length > 0) {
		return malformed("status %d with a body", h.Status)
	}
	h.HasBody = !neverHasBody && h.Status != http.StatusNotModified && method != http.MethodHead
	if h.Length = length; !h.HasBody && method != http.MethodHead {
		h.Length = 0
	}
	if pragma := h.Header["Pragma"]; len(pragma) > 0 && pragma[0] == "no-cache" && h.Header["Cache-Control"] == nil {
		h.Header["Cache-Control"] = []string{"no-cache"} // what the HTTP/1.0 field means
	}
	connection := h.Header["Connection"]
	h.Close = hasToken(connection, "close")
	switch {
	case h.minorVersion == '0':
		h.Close = h.Close || !hasToken(connection, "keep-alive")
	case h.Close:
		delete(h.Header, "Connection")
	}
	return nil
}

// takeLength returns the Content-Length, or -1, and keeps one of equal ones.
func (h *Head) takeLength() (int64, error) {
	values := h.Header["Content-Length"]
	if len(values) == 0 {
		return -1, nil
	}
	length, ok := parseDigits([]byte(values[0]))
	if !ok {
		return 0, malformed("length %.40q", values[0])
	}
	for _, v := range values[1:] {
		if v != values[0] {
			return 0, malformed("lengths %.40q and %.40q", values[0], v)
		}
	}
	h.Header["Content-Length"] = values[:1]
	return length, nil
}

// takeEncoding sets Chunked. A body may be in chunks, but otherwise it is not encoded.
func (h *Head) takeEncoding() error {
	values := h.Header["Transfer-Encoding"]
	if len(values) == 0 {
		return nil
	}
	if len(values) > 1 || !strings.EqualFold(values[0], "chunked") || h.minorVersion == '0' {
		return malformed("transfer encoding %.40q of HTTP/1.%c", values, h.minorVersion)
	}
	h.Chunked = true
	delete(h.Header, "Transfer-Encoding")
	return nil
}

// takeTrailer removes the announcement of trailer fields, which are dropped.
func (h *Head) takeTrailer() error {
	for _, name := range []string{"Content-Length", "Transfer-Encoding", "Trailer"} {
		if hasToken(h.Header["Trailer"], name) {
			return malformed("field %s in the trailer", name)
		}
	}
	delete(h.Header, "Trailer")
	return nil
}

// hasToken reports whether a list field has a token.
func hasToken(values []string, token string) bool {
	for _, v := range values {
		for item := range strings.SplitSeq(v, ",") {
			if strings.EqualFold(strings.Trim(item, " \t"), token) {
				return true
			}
		}
	}
	return false
}
