// Package requestbody reads the bodies of requests whole, within a time and within the memory
// that all of them may use together.
package requestbody

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"geraniumturn.example/geraniumturn/internal/bytebudget"
	"geraniumturn.example/geraniumturn/internal/intake"
)

var (
	// ErrTooLarge means that a body exceeds the limit of its size.
	ErrTooLarge = errors.New("requestbody: too large")
	// ErrNoMemory means that other bodies use the memory that this one needs.
	ErrNoMemory = errors.New("requestbody: other bodies use the memory")
	// ErrDeadline means that the caller has not sent the whole body in time.
	ErrDeadline = errors.New("requestbody: deadline reached before the end of the body")
	// ErrClosed means that the connection gave way to others before the body was complete here.
	ErrClosed = errors.New("requestbody: connection closed for others")
	// ErrTooSlow is the ErrDeadline of a body that arrives below MinPace.
	ErrTooSlow = fmt.Errorf("%w: below %d bytes a second", ErrDeadline, MinPace)
)

const (
	// MinPace is the lowest average pace of a body in bytes a second, from PaceGrace after its
	// begin.
	MinPace   = 1 << 10
	PaceGrace = 30 * time.Second
	// firstBytes is the first size of the buffer of a body that states no length.
	firstBytes = bytebudget.Free
)

// Read reads the body of a request. A body that states its length needs all of its memory
// before a byte of it is read, so that one that cannot be kept is refused at once. part is
// held until the caller of Read releases it, also after an error.
func Read(w http.ResponseWriter, r *http.Request, maxBytes int64, deadline time.Time, part *bytebudget.Buffer) ([]byte, error) {
	account := intake.FromContext(r.Context())
	account.BeginBody()
	controller := http.NewResponseController(w)
	pace := &pacedReader{Reader: r.Body, began: time.Now(), deadline: deadline, set: controller.SetReadDeadline}
	pace.extend()
	body, err := read(r, pace, maxBytes, part)
	if !account.EndBody(err == nil) && err == nil {
		body, err = nil, ErrClosed
	}
	switch {
	case err == nil:
		_ = controller.SetReadDeadline(time.Time{})
	case errors.Is(err, os.ErrDeadlineExceeded):
		if err = ErrDeadline; time.Now().Before(deadline) {
			err = ErrTooSlow
		}
	case errors.Is(err, ErrTooLarge) || errors.Is(err, ErrNoMemory):
		_ = controller.SetReadDeadline(time.Now().Add(intake.DiscardTime))
	}
	return body, err
}

// pacedReader keeps the deadline of reads at the time at which a body is late: its own
// deadline, or when its average pace falls below MinPace.
type pacedReader struct {
	io.Reader
	began, deadline time.Time
	received        int64
	until           time.Time // the deadline that is set
	set             func(time.Time) error
}

func (p *pacedReader) Read(b []byte) (int, error) {
	n, err := p.Reader.Read(b)
	p.received += int64(n)
	p.extend()
	return n, err
}

// extend sets a later deadline if the one that is set is early by more than half of PaceGrace.
func (p *pacedReader) extend() {
	allowed := p.began.Add(PaceGrace + time.Duration(float64(p.received)/MinPace*float64(time.Second)))
	if allowed.After(p.deadline) {
		allowed = p.deadline
	}
	if p.until.Equal(p.deadline) || !p.until.IsZero() && allowed.Before(p.until.Add(PaceGrace/2)) && allowed.Before(p.deadline) {
		return
	}
	p.until = allowed
	_ = p.set(allowed) // not supported by test recorders
}

func read(r *http.Request, from io.Reader, maxBytes int64, part *bytebudget.Buffer) ([]byte, error) {
	switch {
	case r.ContentLength > maxBytes:
		return nil, ErrTooLarge
	case r.ContentLength < 0:
		return readToEnd(from, maxBytes, part)
	case !part.Resize(int(r.ContentLength)):
		return nil, ErrNoMemory
	}
	body := make([]byte, r.ContentLength)
	if _, err := io.ReadFull(from, body); err != nil {
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
			if !part.Copy(size) {
				return nil, ErrNoMemory
			}
			b = append(append(make([]byte, 0, size), b...), next[:n]...)
			if !part.Resize(size) {
				return nil, ErrNoMemory
			}
		}
		if err == io.EOF {
			return b, nil
		}
		if err != nil {
			return nil, err
		}
	}
}
