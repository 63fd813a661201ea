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
	// maxBufferedBytes bounds an answer that is read before it is passed on, so that a
	// truncated one can be repeated.
	maxBufferedBytes = 1 << 20
	// copyBufferBytes is the size of the pieces of a stream.
	copyBufferBytes = 16 << 10
	// maxEventBytes bounds an event of a stream that may be resumed.
	maxEventBytes = 1 << 20
	// streamStallTimeout is the silence after which a stream is resumed elsewhere. It is
	// below the time after which callers leave.
	streamStallTimeout = 1200 * time.Millisecond
)

// relay passes the answer on.
func (g *Gateway) relay(ctx context.Context, cancel context.CancelFunc, w http.ResponseWriter, x *requestState, s *sendAttempt, res *upstream.Response, v Classification) error {
	switch {
	case x.route.Kind != document.Streaming || !v.Success:
		return g.relayBuffered(w, x, s, res)
	case x.route.Resumable:
		return g.relayEvents(ctx, cancel, w, x, s, res)
	}
	return g.relayStream(w, x, s, res)
}

// relayBuffered reads the answer to its end before it passes it on.
func (g *Gateway) relayBuffered(w http.ResponseWriter, x *requestState, s *sendAttempt, res *upstream.Response) error {
	if x.responseStarted {
		return fmt.Errorf("%w: status %d in the place of the rest of a stream", errTruncated, res.Status)
	}
	body, err := io.ReadAll(io.LimitReader(res, maxBufferedBytes+1))
	if err != nil {
		return &attemptError{ran: refusal.Unknown, err: err}
	}
	g.recordFirstByte(x, s)
	g.startResponse(w, x, res)
	if len(body) <= maxBufferedBytes {
		if x.request.Method != http.MethodHead {
			w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		}
		w.WriteHeader(res.Status)
		_, err = w.Write(body)
		return wrapCallerError(err)
	}
	w.WriteHeader(res.Status)
	return g.copyStream(w, s, res, body, len(body), nil)
}

// startResponse sets the header of the answer. From then on the answer can only be
// completed or cut.
func (g *Gateway) startResponse(w http.ResponseWriter, x *requestState, res *upstream.Response) {
	x.responseStarted = true
	for name, values := range g.TargetProtocol.ResponseHeader(res.Header) {
		w.Header()[name] = values
	}
	w.Header().Del(headerRan)
}

func wrapCallerError(err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("%w: %v", errCallerGone, err)
}

// recordFirstByte records the first byte of the answer to a send; later calls do nothing.
func (g *Gateway) recordFirstByte(x *requestState, s *sendAttempt) {
	if s.firstByteSeen {
		return
	}
	s.firstByteSeen = true
	if x.ttfb == 0 {
		x.ttfb = sinceBoot() - x.started
	}
	if s.attempt != nil {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.placer.RecordBytes(sinceBoot(), s.attempt)
		g.placer.FirstByte(s.attempt)
	}
}

// relayStream passes a stream on as it arrives.
func (g *Gateway) relayStream(w http.ResponseWriter, x *requestState, s *sendAttempt, res *upstream.Response) error {
	buffer := make([]byte, copyBufferBytes)
	n, err := g.readChunk(s, res, buffer)
	if n == 0 && err != nil && err != io.EOF {
		return &attemptError{ran: refusal.Unknown, err: err}
	}
	g.recordFirstByte(x, s)
	g.startResponse(w, x, res)
	w.WriteHeader(res.Status)
	return g.copyStream(w, s, res, buffer, n, err)
}

// readChunk reads a piece of a stream and notes that its target is alive.
func (g *Gateway) readChunk(s *sendAttempt, res *upstream.Response, buffer []byte) (int, error) {
	n, err := res.Read(buffer)
	if n > 0 && s.attempt != nil {
		g.mu.Lock()
		g.placer.RecordBytes(sinceBoot(), s.attempt)
		g.mu.Unlock()
	}
	return n, err
}

// copyStream passes on the n bytes that were read into the buffer, with the error that came
// with them, and what follows.
func (g *Gateway) copyStream(w http.ResponseWriter, s *sendAttempt, res *upstream.Response, buffer []byte, n int, err error) error {
	for {
		if n > 0 {
			if werr := writeAndFlush(w, buffer[:n]); werr != nil {
				return werr
			}
		}
		switch {
		case err == io.EOF:
			return nil
		case err != nil:
			return fmt.Errorf("%w: %v", errTruncated, err)
		}
		n, err = g.readChunk(s, res, buffer)
	}
}

func writeAndFlush(w http.ResponseWriter, b []byte) error {
	if _, err := w.Write(b); err != nil {
		return wrapCallerError(err)
	}
	return wrapCallerError(http.NewResponseController(w).Flush())
}

// relayEvents passes whole events on, so that the stream can go on elsewhere after
// the last one.
func (g *Gateway) relayEvents(ctx context.Context, cancel context.CancelFunc, w http.ResponseWriter, x *requestState, s *sendAttempt, res *upstream.Response) error {
	watchdog := time.AfterFunc(streamStallTimeout, cancel)
	defer watchdog.Stop()
	var pending []byte
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := g.readChunk(s, res, buffer)
		pending = append(pending, buffer[:n]...)
		events, rest := splitEvents(pending)
		if len(events) > 0 {
			watchdog.Reset(streamStallTimeout)
			if werr := g.writeEvents(w, x, s, res, events); werr != nil {
				return werr
			}
		}
		pending = rest
		switch {
		case err == io.EOF && len(bytes.TrimSpace(pending)) == 0:
			if !x.responseStarted {
				g.recordFirstByte(x, s)
				g.startResponse(w, x, res)
				w.WriteHeader(res.Status)
			}
			return nil
		case err == io.EOF:
			err = fmt.Errorf("the stream ends within an event")
		case err == nil && len(pending) > maxEventBytes:
			err = fmt.Errorf("an event has more than %d bytes", maxEventBytes)
		}
		if err != nil {
			x.resumes++
			g.requestMetrics.resumed.Inc(1)
			return &attemptError{ran: refusal.Unknown, err: err}
		}
	}
}

// writeEvents passes events on that the caller does not have yet.
func (g *Gateway) writeEvents(w http.ResponseWriter, x *requestState, s *sendAttempt, res *upstream.Response, events [][]byte) error {
	for _, e := range events {
		id := eventID(e)
		if id != "" && !follows(id, x.lastEvent) {
			continue
		}
		if !x.responseStarted {
			g.startResponse(w, x, res)
			w.WriteHeader(res.Status)
		}
		g.recordFirstByte(x, s)
		if _, err := w.Write(e); err != nil {
			return wrapCallerError(err)
		}
		if id != "" {
			x.lastEvent = id
		}
	}
	x.lastEventAt = sinceBoot()
	return wrapCallerError(http.NewResponseController(w).Flush())
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

// follows reports whether an event follows the last one. Ids that are no numbers
// are taken to follow.
func follows(id, last string) bool {
	a, errA := strconv.ParseInt(id, 10, 64)
	b, errB := strconv.ParseInt(last, 10, 64)
	return errors.Join(errA, errB) != nil || a > b
}
