// Package requestbody reads the bodies of requests whole, within a time and within the memory
// that all of them may use together.
package requestbody

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"geraniumturn.example/geraniumturn/internal/bytebudget"
)

var (
	// ErrTooLarge means that a body exceeds the limit of its size.
	ErrTooLarge = errors.New("requestbody: too large")
	// ErrNoMemory means that other bodies use the memory that this one needs.
	ErrNoMemory = errors.New("requestbody: other bodies use the memory")
	// ErrDeadline means that the caller has not sent the whole body in time.
	ErrDeadline = errors.New("requestbody: deadline reached before the end of the body")
)

const (
	// firstBytes is the first size of the buffer of a body that states no length.
	firstBytes = bytebudget.Free
	// discardTime bounds the time in which the server reads on after a refusal, so that its
	// response is not lost in a reset of the connection.
	discardTime = time.Second
)

// Read reads the body of a request. A body that states its length needs all of its memory
// before a byte of it is read, so that one that cannot be kept is refused at once. part is
// held until the caller of Read releases it, also after an error.
func Read(w http.ResponseWriter, r *http.Request, maxBytes int64, deadline time.Time, part *bytebudget.Buffer) ([]byte, error) {
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(deadline) // not supported by test recorders
	body, err := read(r, maxBytes, part)
	switch {
	case err == nil:
		_ = controller.SetReadDeadline(time.Time{})
	case errors.Is(err, os.ErrDeadlineExceeded):
		err = ErrDeadline
	case errors.Is(err, ErrTooLarge) || errors.Is(err, ErrNoMemory):
		_ = controller.SetReadDeadline(time.Now().Add(discardTime))
	}
	return body, err
}

func read(r *http.Request, maxBytes int64, part *bytebudget.Buffer) ([]byte, error) {
	switch {
	case r.ContentLength > maxBytes:
		return nil, ErrTooLarge
	case r.ContentLength < 0:
		return readToEnd(r.Body, maxBytes, part)
	case !part.Resize(int(r.ContentLength)):
		return nil, ErrNoMemory
	}
	body := make([]byte, r.ContentLength)
	if _, err := io.ReadFull(r.Body, body); err != nil {
		return nil, err
	}
	return body, nil
}

// readToEnd reads a body that states no length.
func readToEnd(r io.Reader, maxBytes int64, part *bytebudget.Buffer) ([]byte, error) {
	b := make([]byte, 0, firstBytes)
	var next [512]byte
	for {
		into := b[len(b):cap(b)]
		if len(into) == 0 {
			into = next[:] // the buffer grows only if there is more
		}
		n, err := r.Read(into)
		switch {
		case int64(len(b)+n) > maxBytes:
			return nil, ErrTooLarge
		case len(b)+n <= cap(b):
			b = b[:len(b)+n]
		default:
			size := 2 * cap(b)
			if !part.Resize(size) {
				return nil, ErrNoMemory
			}
			b = append(append(make([]byte, 0, size), b...), next[:n]...)
		}
		if err == io.EOF {
			return b, nil
		}
		if err != nil {
			return nil, err
		}
	}
}
