package gateway

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"geraniumturn.example/geraniumturn/internal/document"
	"geraniumturn.example/geraniumturn/internal/refusal"
	"geraniumturn.example/geraniumturn/internal/upstream"
)

const (
	// maxWhole bounds an answer that is read before it is passed on, so that a
	// truncated one can be repeated.
	maxWhole = 1 << 20
	// copyBytes is the size of the pieces of a stream.
	copyBytes = 16 << 10
	// maxEvent bounds an event of a stream that may be resumed.
	maxEvent = 1 << 20
	// stallLimit is the silence after which a stream is resumed elsewhere. It is
	// below the time after which callers leave.
	stallLimit = 1200 * time.Millisecond
)

// relay passes the answer on.
func (g *Gateway) relay(ctx context.Context, cancel context.CancelFunc, w http.ResponseWriter, x *exchange, s *send, res *upstream.Response, v Classification) error {
	switch {
	case x.route.Kind != document.Streaming || !v.Success:
		return g.relayWhole(w, x, s, res)
	case x.route.Resumable:
		return g.relayEvents(ctx, cancel, w, x, s, res)
	}
	return g.relayStream(w, x, s, res)
}

// relayWhole reads the answer to its end before it passes it on.
func (g *Gateway) relayWhole(w http.ResponseWriter, x *exchange, s *send, res *upstream.Response) error {
	if x.answered {
		return fmt.Errorf("%w: status %d in the place of the rest of a stream", errCut, res.Status)
	}
	body, err := io.ReadAll(io.LimitReader(res, maxWhole+1))
	if err != nil {
		return &attemptError{ran: refusal.Unknown, err: err}
	}
	g.firstByte(x, s)
	g.begin(w, x, res)
	if len(body) <= maxWhole {
		if x.request.Method != http.MethodHead {
			w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		}
		w.WriteHeader(res.Status)
		_, err = w.Write(body)
		return callerError(err)
	}
	w.WriteHeader(res.Status)
	return g.copy(w, s, res, body, len(body), nil)
}

// begin sets the header of the answer. From then on the answer can only be
// completed or cut.
func (g *Gateway) begin(w http.ResponseWriter, x *exchange, res *upstream.Response) {
	x.answered = true
	for name, values := range g.TargetProtocol.ResponseHeader(res.Header) {
		w.Header()[name] = values
	}
	w.Header().Del(headerRan)
}

func callerError(err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("%w: %v", errCallerGone, err)
}

// firstByte records the first byte of the answer to a send; later calls do nothing.
func (g *Gateway) firstByte(x *exchange, s *send) {
	if s.begun {
		return
	}
	s.begun = true
	if x.first == 0 {
		x.first = sinceBoot() - x.started
	}
	if s.use != nil {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.placer.RecordBytes(sinceBoot(), s.use)
		g.placer.FirstByte(s.use)
	}
}

// relayStream passes a stream on as it arrives.
func (g *Gateway) relayStream(w http.ResponseWriter, x *exchange, s *send, res *upstream.Response) error {
	buffer := make([]byte, copyBytes)
	n, err := g.read(s, res, buffer)
	if n == 0 && err != nil && err != io.EOF {
		return &attemptError{ran: refusal.Unknown, err: err}
	}
	g.firstByte(x, s)
	g.begin(w, x, res)
	w.WriteHeader(res.Status)
	return g.copy(w, s, res, buffer, n, err)
}

// read reads a piece of a stream and notes that its target is alive.
func (g *Gateway) read(s *send, res *upstream.Response, buffer []byte) (int, error) {
	n, err := res.Read(buffer)
	if n > 0 && s.use != nil {
		g.mu.Lock()
		g.placer.RecordBytes(sinceBoot(), s.use)
		g.mu.Unlock()
	}
	return n, err
}

// copy passes on the n bytes that were read into the buffer, with the error that came
// with them, and what follows.
func (g *Gateway) copy(w http.ResponseWriter, s *send, res *upstream.Response, buffer []byte, n int, err error) error {
	for {
		if n > 0 {
			if werr := writeFlush(w, buffer[:n]); werr != nil {
				return werr
			}
		}
		switch {
		case err == io.EOF:
			return nil
		case err != nil:
			return fmt.Errorf("%w: %v", errCut, err)
		}
		n, err = g.read(s, res, buffer)
	}
}

func writeFlush(w http.ResponseWriter, b []byte) error {
	if _, err := w.Write(b); err != nil {
		return callerError(err)
	}
	return callerError(http.NewResponseController(w).Flush())
}

// relayEvents passes whole events on, so that the stream can go on elsewhere after
// the last one.
func (g *Gateway) relayEvents(ctx context.Context, cancel context.CancelFunc, w http.ResponseWriter, x *exchange, s *send, res *upstream.Response) error {
	watchdog := time.AfterFunc(stallLimit, cancel)
	defer watchdog.Stop()
	var pending []byte
	buffer := make([]byte, copyBytes)
	for {
		n, err := g.read(s, res, buffer)
		pending = append(pending, buffer[:n]...)
		events, rest := splitEvents(pending)
		if len(events) > 0 {
			watchdog.Reset(stallLimit)
			if werr := g.deliver(w, x, s, res, events); werr != nil {
				return werr
			}
		}
		pending = rest
		switch {
		case err == io.EOF && len(bytes.TrimSpace(pending)) == 0:
			if !x.answered {
				g.firstByte(x, s)
				g.begin(w, x, res)
				w.WriteHeader(res.Status)
			}
			return nil
		case err == io.EOF:
			err = fmt.Errorf("the stream ends within an event")
		case err == nil && len(pending) > maxEvent:
			err = fmt.Errorf("an event has more than %d bytes", maxEvent)
		}
		if err != nil {
			x.resumes++
			g.measures.resumed.Inc(1)
			return &attemptError{ran: refusal.Unknown, err: err}
		}
	}
}

// deliver passes events on that the caller does not have yet.
func (g *Gateway) deliver(w http.ResponseWriter, x *exchange, s *send, res *upstream.Response, events [][]byte) error {
	for _, e := range events {
		id := eventID(e)
		if id != "" && !after(id, x.last) {
			continue
		}
		if !x.answered {
			g.begin(w, x, res)
			w.WriteHeader(res.Status)
		}
		g.firstByte(x, s)
		if _, err := w.Write(e); err != nil {
			return callerError(err)
		}
		if id != "" {
			x.last = id
		}
	}
	x.lastAt = sinceBoot()
	return callerError(http.NewResponseController(w).Flush())
}

// splitEvents returns the whole events at the start and what is left.
func splitEvents(b []byte) (events [][]byte, rest []byte) {
	for {
		end := eventEnd(b)
		if end == 0 {
			return events, append([]byte(nil), b...)
		}
		events, b = append(events, b[:end]), b[end:]
	}
}

func eventEnd(b []byte) int {
	for _, blank := range []string{"\n\n", "\n\r\n"} {
		if i := bytes.Index(b, []byte(blank)); i >= 0 {
			return i + len(blank)
		}
	}
	return 0
}

func eventID(e []byte) string {
	for line := range bytes.Lines(e) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}

// after reports whether an event follows the last one. Ids that are no numbers
// are taken to follow.
func after(id, last string) bool {
	a, errA := strconv.ParseInt(id, 10, 64)
	b, errB := strconv.ParseInt(last, 10, 64)
	return errors.Join(errA, errB) != nil || a > b
}
