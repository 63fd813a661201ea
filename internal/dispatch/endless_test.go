package dispatch

import (
	"net/http"
	"strings"
	"testing"

	"geraniumturn.example/geraniumturn/internal/bytebudget"
	"geraniumturn.example/geraniumturn/internal/rules"
)

// discard is a Sink that keeps nothing.
type discard struct{}

func (discard) Start(int, map[string]string) error { return nil }
func (discard) Write([]byte) error                 { return nil }

// Guards against a faulty target whose responses have no end: what a host keeps of all of
// them together must be bounded.
func TestEndlessResponsesShareMemory(t *testing.T) {
	const requests, chunk = 200, 32 << 10
	for _, contentType := range []string{"text/event-stream", "application/json"} {
		var buffers bytebudget.Budget
		kept := 0
		for range requests {
			response := &http.Response{StatusCode: http.StatusOK, Header: http.Header{"Content-Type": {contentType}}}
			scan := newScanner(&Request{Kind: rules.Engine}, response, &buffers)
			out := &responseSink{sink: discard{}, part: buffers.Buffer()}
			out.beginAttempt(scan.isEventStream)
			buffered := &bufferingSink{response: out, header: map[string]string{}, passThrough: scan.isEventStream, part: buffers.Buffer()}
			for range (1 << 20) / chunk {
				p := []byte(strings.Repeat("x", chunk))
				scan.feed(p)
				if err := buffered.write(p); err != nil {
					t.Fatal(err)
				}
			}
			kept += len(scan.line) + len(scan.body) + len(out.partialEvent) + len(buffered.buffered)
		}
		if most := bytebudget.DefaultLimit + 3*requests*bytebudget.Free; kept > most {
			t.Errorf("%s: %d bytes are kept of %d responses, %d allowed", contentType, kept, requests, most)
		}
	}
}
