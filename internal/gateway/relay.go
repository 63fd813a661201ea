package gateway

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"io"
	"mime"
	"net/http"
	"strconv"
	"time"

	"geraniumturn.example/geraniumturn/internal/bytebudget"
	"geraniumturn.example/geraniumturn/internal/document"
	"geraniumturn.example/geraniumturn/internal/refusal"
	"geraniumturn.example/geraniumturn/internal/upstream"
)

const (
	// maxBufferedBytes bounds the responses that are buffered in full before they are
	// relayed, so that a truncated response can be retried.
	maxBufferedBytes = 1 << 20
	// minBufferBytes is the first size of the buffer of such a response.
	minBufferBytes = 4 << 10
	// copyBufferBytes is the size of the buffer for streams.
	copyBufferBytes = 16 << 10
	// maxEventBytes bounds an event of a resumable stream.
	maxEventBytes = 1 << 20
	// streamStallTimeout is the time without an event after which a stream is resumed at
	// another target, if there is one. It is below the time after which callers abandon a
	// stream.
	streamStallTimeout = 1200 * time.Millisecond
	// stallRetryInterval is the time between attempts to find another target.
	stallRetryInterval = 100 * time.Millisecond
)

// relay writes the response to the caller.
func (g *Gateway) relay(w http.ResponseWriter, x *requestState, s *sendAttempt, res *upstream.Response, class Classification) error {
	switch {
	case x.route.Kind != document.Streaming || !class.Success:
		return g.relayBuffered(w, x, s, res)
	case x.route.Resumable:
		return g.relayEvents(w, x, s, res)
	}
	return g.relayStream(w, x, s, streamBody(x, s, res), res)
}

// streamBody returns the body of a successful response on a streaming route. The events
// of a stream are checked unless the framing of a response with another content type
// already shows where it ends.
func streamBody(x *requestState, s *sendAttempt, res *upstream.Response) io.Reader {
	mediaType, _, _ := mime.ParseMediaType(res.Header.Get("Content-Type"))
	if mediaType != "text/event-stream" && !res.Unframed {
		return res
	}
	return &eventReader{Reader: res, needsEvent: res.Unframed && !x.resumesStream(), trace: &s.events}
}

// resumesStream reports whether the caller has received events of the stream before. The
// rest of such a stream may be empty.
func (x *requestState) resumesStream() bool {
	return x.lastEvent != "" || x.call.LastEvent != "" && x.route.Resumable
}

// errNoEvents means that a stream that ends with its connection has no event, so that
// nothing shows that it is complete.
var errNoEvents = errors.New("gateway: the stream ended before its first event")

// relayBuffered buffers the response in full, up to maxBufferedBytes and to what all
// responses together may hold, before it writes it.
func (g *Gateway) relayBuffered(w http.ResponseWriter, x *requestState, s *sendAttempt, res *upstream.Response) error {
	part := g.buffers.Buffer()
	defer part.Release()
	body, whole, err := readBuffered(res, &part)
	if err != nil {
		return &attemptError{ran: refusal.Unknown, err: err}
	}
	g.recordFirstByte(x, s)
	g.startResponse(w, x, res)
	if whole {
		if x.request.Method != http.MethodHead {
			w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		}
		w.WriteHeader(res.Status)
		_, err = w.Write(body)
		return wrapCallerError(err)
	}
	w.WriteHeader(res.Status)
	if err := writeAndFlush(w, body); err != nil {
		return err
	}
	body = nil
	part.Release()
	return g.copyStream(w, s, res, make([]byte, copyBufferBytes), 0, nil)
}

// readBuffered reads a body up to its end or until the buffer may not grow. whole is false
// if more may follow.
func readBuffered(body io.Reader, part *bytebudget.Buffer) (b []byte, whole bool, err error) {
	b = make([]byte, 0, minBufferBytes)
	for {
		if len(b) == cap(b) {
			size := 2 * cap(b)
			if size > maxBufferedBytes || !part.Resize(size) {
				return b, false, nil
			}
			b = append(make([]byte, 0, size), b...)
		}
		n, err := body.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		switch {
		case err == io.EOF:
			return b, true, nil
		case err != nil:
			return nil, false, err
		}
	}
}

// responseForm is what the caller knows of a response once it has started. The responses
// of all attempts that continue it have the same.
type responseForm struct {
	status              int
	mediaType, encoding string
}

func formOf(res *upstream.Response) responseForm {
	mediaType, _, err := mime.ParseMediaType(res.Header.Get("Content-Type"))
	if err != nil {
		mediaType = res.Header.Get("Content-Type")
	}
	return responseForm{res.Status, mediaType, res.Header.Get("Content-Encoding")}
}

// checkContinuation returns an error if the response to the caller has started and res
// does not continue it: the body of res would then be text of its own in the middle of the
// caller's stream.
func (x *requestState) checkContinuation(s *sendAttempt, res *upstream.Response, class Classification) error {
	if form := formOf(res); x.responseStarted && (!class.Success || form != x.form) {
		return &attemptError{ran: refusal.Unknown, err: fmt.Errorf("target %s does not continue the response: %+v after %+v", s.target, form, x.form)}
	}
	return nil
}

// startResponse sets the response headers. From then on the response can only be
// completed or aborted, and no longer be replaced by a refusal.
func (g *Gateway) startResponse(w http.ResponseWriter, x *requestState, res *upstream.Response) {
	x.responseStarted, x.form = true, formOf(res)
	if err := res.KeepFor(x.deadline - sinceBoot()); err != nil {
		g.Log.WithField("id", x.call.ID).WithError(err).Info("connection lost") // reading fails too
	}
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

// recordFirstByte records the first byte of the response to an attempt. Later calls do
// nothing.
func (g *Gateway) recordFirstByte(x *requestState, s *sendAttempt) {
	if s.firstByteSeen {
		return
	}
	s.firstByteSeen, s.firstByteAt = true, sinceBoot()
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

// relayStream writes the body of a response to the caller as it arrives.
func (g *Gateway) relayStream(w http.ResponseWriter, x *requestState, s *sendAttempt, body io.Reader, res *upstream.Response) error {
	buffer := make([]byte, copyBufferBytes)
	n, err := g.readChunk(s, body, buffer)
	if n == 0 && err != nil && err != io.EOF {
		return &attemptError{ran: refusal.Unknown, err: err}
	}
	g.recordFirstByte(x, s)
	g.startResponse(w, x, res)
	w.WriteHeader(res.Status)
	return g.copyStream(w, s, body, buffer, n, err)
}

// eventReader reads an event stream. A stream that ends within an event returns
// io.ErrUnexpectedEOF instead of io.EOF: it may have neither a length nor chunks, so
// that nothing else shows that it was broken off.
type eventReader struct {
	io.Reader
	needsEvent bool   // a stream without an event returns errNoEvents
	tail       []byte // the last maxBlankLineBytes bytes
	trace      *eventTrace
}

func (r *eventReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	r.trace.feed(b[:n])
	r.tail = append(r.tail, b[max(0, n-maxBlankLineBytes):n]...)
	r.tail = append(r.tail[:0], r.tail[max(0, len(r.tail)-maxBlankLineBytes):]...)
	if err == io.EOF && len(r.tail) > 0 && !bytes.HasSuffix(r.tail, []byte("\n\n")) && !bytes.HasSuffix(r.tail, []byte("\n\r\n")) {
		err = io.ErrUnexpectedEOF
	}
	if err == io.EOF && r.trace.count == 0 && r.needsEvent {
		err = errNoEvents
	}
	return n, err
}

// maxBlankLineBytes is the length of the longest end of an event.
const maxBlankLineBytes = 3

// readChunk reads a part of a stream and records that its target is alive.
func (g *Gateway) readChunk(s *sendAttempt, body io.Reader, buffer []byte) (int, error) {
	n, err := body.Read(buffer)
	if n > 0 && s.attempt != nil {
		g.mu.Lock()
		g.placer.RecordBytes(sinceBoot(), s.attempt)
		g.mu.Unlock()
	}
	return n, err
}

// copyStream writes the first n bytes of the buffer, then copies the remaining stream.
// err is the error of the read that returned the n bytes.
func (g *Gateway) copyStream(w http.ResponseWriter, s *sendAttempt, body io.Reader, buffer []byte, n int, err error) error {
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
		n, err = g.readChunk(s, body, buffer)
	}
}

func writeAndFlush(w http.ResponseWriter, b []byte) error {
	if _, err := w.Write(b); err != nil {
		return wrapCallerError(err)
	}
	return wrapCallerError(http.NewResponseController(w).Flush())
}

// relayEvents relays complete events only, so that another target can resume the stream
// after the last one.
func (g *Gateway) relayEvents(w http.ResponseWriter, x *requestState, s *sendAttempt, res *upstream.Response) error {
	lastEventAt, logged, empty := sinceBoot(), false, true
	checkAt := lastEventAt + streamStallTimeout
	silent := func() (time.Duration, error) {
		err := g.replaceSilent(x, s, sinceBoot()-lastEventAt, !logged)
		logged = true
		checkAt = sinceBoot() + stallRetryInterval
		return stallRetryInterval, err
	}
	var pending []byte
	part := g.buffers.Buffer()
	defer part.Release()
	buffer := make([]byte, copyBufferBytes)
	for {
		if err := res.WatchSilence(time.Now().Add(checkAt-sinceBoot()), silent); err != nil {
			return &attemptError{ran: refusal.Unknown, err: err}
		}
		n, err := g.readChunk(s, res, buffer)
		if size := len(pending) + n; size > cap(pending) {
			if size = max(size, 2*cap(pending)); !part.Resize(size) {
				return g.interrupted(x, s, fmt.Errorf("an event of %d bytes or more exceeds the memory for responses", len(pending)))
			}
			pending = append(make([]byte, 0, size), pending...)
		}
		pending = append(pending, buffer[:n]...)
		events, incomplete := splitEvents(pending)
		if len(events) > 0 {
			progress, werr := g.writeEvents(w, x, s, res, events)
			if werr != nil {
				return werr
			}
			if progress {
				lastEventAt, logged, empty = sinceBoot(), false, false
				checkAt = lastEventAt + streamStallTimeout
			}
		}
		pending = incomplete
		switch {
		case err == io.EOF && res.Unframed && empty && !x.resumesStream():
			err = errNoEvents
		case err == io.EOF && len(bytes.TrimSpace(pending)) == 0:
			if err := g.checkOrigin(x, s); err != nil {
				return err
			}
			if !x.responseStarted {
				g.recordFirstByte(x, s)
				g.startResponse(w, x, res)
				w.WriteHeader(res.Status)
			}
			return nil
		case err == io.EOF:
			err = fmt.Errorf("stream ended within an event")
		case err == nil && len(pending) > maxEventBytes:
			err = fmt.Errorf("event exceeds %d bytes", maxEventBytes)
		}
		if err != nil {
			return g.interrupted(x, s, err)
		}
	}
}

// interrupted returns the error of an attempt whose stream may be resumed elsewhere.
func (g *Gateway) interrupted(x *requestState, s *sendAttempt, err error) error {
	x.resumes++
	g.requestMetrics.resumed.Inc(1)
	if x.replacement != nil {
		s.cancel() // the target is silent, not broken
	}
	return &attemptError{ran: refusal.Unknown, err: err}
}

// writeEvents writes the events that the caller has not received yet. It reports progress
// if the stream has moved: comments, empty events and repeated ones do not show that its
// target works on it.
func (g *Gateway) writeEvents(w http.ResponseWriter, x *requestState, s *sendAttempt, res *upstream.Response, events [][]byte) (progress bool, err error) {
	for _, e := range events {
		id := eventID(e)
		if id != "" && !follows(id, cmp.Or(x.lastEvent, x.call.LastEvent)) {
			continue
		}
		if err := g.checkOrigin(x, s); err != nil {
			return progress, err
		}
		if !x.responseStarted {
			g.startResponse(w, x, res)
			w.WriteHeader(res.Status)
		}
		g.recordFirstByte(x, s)
		if _, err := w.Write(e); err != nil {
			return progress, wrapCallerError(err)
		}
		progress = progress || id != "" || hasData(e)
		if id != "" {
			x.lastEvent = id
		}
		x.unnumbered = x.unnumbered || id == "" && hasData(e)
	}
	if progress {
		x.lastEventAt = sinceBoot()
	}
	if !x.responseStarted { // a flush would send a head without the target's headers
		return progress, nil
	}
	return progress, wrapCallerError(http.NewResponseController(w).Flush())
}

// splitEvents returns the complete events at the start of b and the rest, which is a copy if
// there are any.
func splitEvents(b []byte) (events [][]byte, incomplete []byte) {
	for {
		end := eventEnd(b)
		switch {
		case end == 0 && len(events) == 0:
			return nil, b
		case end == 0:
			return events, append([]byte(nil), b...)
		}
		events, b = append(events, b[:end]), b[end:]
	}
}

// eventEnd returns the length of the first event of b, or 0 if it is incomplete.
func eventEnd(b []byte) int {
	end := 0
	for _, blank := range []string{"\n\n", "\n\r\n"} {
		if i := bytes.Index(b, []byte(blank)); i >= 0 {
			end = i + len(blank)
			b = b[:end] // an earlier end is in it
		}
	}
	return end
}

func eventID(e []byte) string {
	for line := range bytes.Lines(e) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}

// hasData reports whether an event has data; others are comments or empty.
func hasData(e []byte) bool {
	for line := range bytes.Lines(e) {
		if data, ok := bytes.CutPrefix(line, []byte("data:")); ok && len(bytes.TrimSpace(data)) > 0 {
			return true
		}
	}
	return false
}

// continuable reports whether another attempt can continue the started response: the
// software that began it is known, and so is the last event that the caller has received.
func (x *requestState) continuable() bool { return x.origin != nil && !x.unnumbered }

// follows reports whether the event id comes after last. It reports true if one of the
// ids is not a number and they differ.
func follows(id, last string) bool {
	if id == last {
		return false
	}
	a, errA := strconv.ParseInt(id, 10, 64)
	b, errB := strconv.ParseInt(last, 10, 64)
	return errors.Join(errA, errB) != nil || a > b
}
