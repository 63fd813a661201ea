package responsehead

import "bytes"

// Checker checks the responses on a connection as their bytes pass to another reader, which
// bounds the length of heads.
type Checker struct {
	state  checkState
	method string
	parser *Parser
	line   []byte // the part of a line of a head that has arrived
	left   int64  // of a body with a length
	chunks chunks
	err    error
}

type checkState uint8

const (
	noRequest checkState = iota
	inHead
	inLength
	inChunks
	unframed
)

// Begin says that a request is about to be sent. Until then nothing may arrive.
func (c *Checker) Begin(method string) {
	if c.state != noRequest && c.err == nil {
		c.err = malformed("no end before the next request")
	}
	c.state, c.method, c.parser = inHead, method, NewParser(method)
}

// Err returns what Take has found.
func (c *Checker) Err() error { return c.err }

// Take takes the next bytes and returns how many may pass. After an error none may: what has
// passed lacks the end of the line, or of the body, that is malformed.
func (c *Checker) Take(b []byte) (int, error) {
	for n := 0; ; {
		if c.err != nil || n == len(b) {
			return n, c.err
		}
		var taken int
		taken, c.err = c.takePart(b[n:])
		n += taken
	}
}

// takePart takes a part of b that is not empty.
func (c *Checker) takePart(b []byte) (int, error) {
	switch c.state {
	case inHead:
		return c.takeHead(b)
	case inLength:
		n := min(int64(len(b)), c.left)
		if c.left -= n; c.left == 0 {
			c.state = noRequest
		}
		return int(n), nil
	case inChunks:
		return c.takeChunks(b)
	case unframed:
		return len(b), nil
	}
	return 0, malformed("bytes behind a response")
}

func (c *Checker) takeHead(b []byte) (int, error) {
	n := bytes.IndexByte(b, '\n') + 1
	if n == 0 {
		c.line = append(c.line, b...)
		return len(b), nil
	}
	line := append(c.line, b[:n]...)
	c.line = line[:0]
	head, err := c.parser.Line(line)
	if err != nil {
		return n - 1, err
	}
	if head != nil {
		c.endHead(head)
	}
	return n, nil
}

func (c *Checker) endHead(head *Head) {
	switch {
	case head.IsInterim():
		c.parser = NewParser(c.method)
	case head.Unframed():
		c.state = unframed
	case head.HasBody && head.Chunked:
		c.state, c.chunks = inChunks, chunks{}
	case head.HasBody && head.Length > 0:
		c.state, c.left = inLength, head.Length
	default:
		c.state = noRequest
	}
}

func (c *Checker) takeChunks(b []byte) (int, error) {
	if n := min(int64(len(b)), c.chunks.left); n > 0 {
		c.chunks.skip(n)
		return int(n), nil
	}
	if err := c.chunks.take(b[0]); err != nil {
		return 0, err
	}
	if c.chunks.part == ended {
		c.state = noRequest
	}
	return 1, nil
}
