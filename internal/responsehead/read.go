package responsehead

import (
	"bufio"
	"errors"
	"io"
)

// Read reads one head, of an interim response too. The caller bounds its length.
func Read(r *bufio.Reader, method string) (*Head, error) {
	for p := NewParser(method); ; {
		line, err := readLine(r)
		if err != nil {
			return nil, err
		}
		if head, err := p.Line(line); head != nil || err != nil {
			return head, err
		}
	}
}

// readLine returns a line with its LF, which is valid until the next read.
func readLine(r *bufio.Reader) ([]byte, error) {
	line, err := r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		long := append([]byte(nil), line...)
		line, err = r.ReadBytes('\n')
		line = append(long, line...)
	}
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return line, err
}

// Body returns a reader of the body that follows a head. It returns io.EOF behind the last byte
// of a body with a length, behind the trailer of one in chunks, and with that of r for one that
// is unframed. Another end is an error.
func (h *Head) Body(r *bufio.Reader) io.Reader {
	switch {
	case !h.HasBody:
		return noBody{}
	case h.Chunked:
		return &chunkReader{r: r}
	case h.Length >= 0:
		return &lengthReader{r, h.Length}
	}
	return r
}

type noBody struct{}

func (noBody) Read([]byte) (int, error) { return 0, io.EOF }

type lengthReader struct {
	r    *bufio.Reader
	left int64
}

func (l *lengthReader) Read(b []byte) (int, error) {
	if l.left == 0 {
		return 0, io.EOF
	}
	n, err := l.r.Read(b[:min(int64(len(b)), l.left)])
	l.left -= int64(n)
	switch {
	case l.left == 0:
		return n, io.EOF
	case err == io.EOF:
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}

type chunkReader struct {
	r      *bufio.Reader
	chunks chunks
	err    error
}

// Read does not wait for more than it needs to return data.
func (c *chunkReader) Read(b []byte) (n int, _ error) {
	for c.err == nil && (n == 0 || c.r.Buffered() > 0) {
		switch {
		case c.chunks.part == ended:
			c.err = io.EOF
		case c.chunks.left == 0:
			var next byte
			if next, c.err = c.r.ReadByte(); c.err == nil {
				c.err = c.chunks.take(next)
			}
		case n == len(b):
			return n, nil
		default:
			var read int
			read, c.err = c.r.Read(b[n:min(int64(len(b)), int64(n)+c.chunks.left)])
			n += read
			c.chunks.skip(int64(read))
		}
		if c.err == io.EOF && c.chunks.part != ended {
			c.err = io.ErrUnexpectedEOF
		}
	}
	return n, c.err
}
