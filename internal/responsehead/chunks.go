package responsehead

import (
	"bytes"
	"math"
)

const (
	// maxChunkLine bounds the line with the size of a chunk, extensions included.
	maxChunkLine = 1 << 10
	// maxTrailerBytes bounds the trailer of a body in chunks.
	maxTrailerBytes = 16 << 10
	maxChunkSize    = math.MaxInt64
)

// chunks takes a body in chunks: all bytes but those of its data one by one.
type chunks struct {
	left int64 // of the data of the current chunk
	part chunkPart
	line []byte // of a size or a trailer field
	// trailer counts the bytes of the trailer.
	trailer int
}

type chunkPart uint8

const (
	sizeLine chunkPart = iota
	dataCR
	dataLF
	trailerLine
	ended
)

// skip notes that n bytes of data were read.
func (c *chunks) skip(n int64) {
	if c.left -= n; c.left == 0 {
		c.part = dataCR
	}
}

// take takes a byte that is not data. Data follow it if left is greater than 0.
func (c *chunks) take(b byte) error {
	switch c.part {
	case dataCR:
		if b != '\r' {
			return malformed("chunk longer than its size")
		}
		c.part = dataLF
		return nil
	case dataLF:
		if b != '\n' {
			return malformed("chunk without CRLF behind it")
		}
		c.part = sizeLine
		return nil
	case ended:
		return malformed("bytes behind the last chunk")
	}
	c.line = append(c.line, b)
	if c.part == trailerLine {
		c.trailer++
	}
	if len(c.line) > maxChunkLine && c.part == sizeLine || c.trailer > maxTrailerBytes {
		return malformed("size or trailer of a chunked body too long")
	}
	if b != '\n' {
		return nil
	}
	line, ok := bytes.CutSuffix(c.line, []byte("\r\n"))
	c.line = c.line[:0]
	if !ok {
		return malformed("line of a chunked body without CRLF")
	}
	if c.part == trailerLine {
		return c.takeTrailer(line)
	}
	return c.takeSize(line)
}

func (c *chunks) takeTrailer(line []byte) error {
	if len(line) == 0 {
		c.part = ended
		return nil
	}
	_, _, err := parseField(line)
	return err
}

func (c *chunks) takeSize(line []byte) error {
	digits, extension, _ := bytes.Cut(line, []byte(";"))
	if len(digits) == 0 || hasControl(extension) {
		return malformed("chunk size %.40q", line)
	}
	var size int64
	for _, b := range digits {
		digit, ok := hexDigit(b)
		if !ok || size > maxChunkSize>>4 {
			return malformed("chunk size %.40q", line)
		}
		size = size<<4 | digit
	}
	if c.left = size; size == 0 {
		c.part = trailerLine
	}
	return nil
}

func hexDigit(b byte) (int64, bool) {
	switch {
	case '0' <= b && b <= '9':
		return int64(b - '0'), true
	case 'a' <= b && b <= 'f':
		return int64(b-'a') + 10, true
	case 'A' <= b && b <= 'F':
		return int64(b-'A') + 10, true
	}
	return 0, false
}
