package upstream

import (
	"fmt"
	"io"

	"geraniumturn.example/geraniumturn/internal/responsehead"
)

// readHead reads response headers until a response belongs to the request. It skips
// interim responses and up to maxForeignResponses responses to other requests.
func (o *Response) readHead(r *Request) error {
	source := &o.conn.source
	source.limited, source.left = true, maxHeadBytes
	defer func() { source.limited = false }()
	for foreign := 0; ; {
		head, err := responsehead.Read(o.conn.reader, r.Method)
		if err != nil {
			return err
		}
		if head.IsInterim() {
			continue
		}
		match := Own
		if r.Match != nil {
			match = r.Match(head.Status, head.Header)
		}
		if match == Unidentified && (o.conn.used || foreign > 0) {
			return fmt.Errorf("received a response with status %d that names no request, on a connection that has had others", head.Status)
		}
		body := head.Body(o.conn.reader)
		if match != Foreign {
			o.Status, o.Header, o.Length, o.body = head.Status, head.Header, head.Length, body
			o.Unframed = head.Unframed()
			o.reusable = !head.Close && !o.Unframed && foreign == 0
			return nil
		}
		foreign++
		delimited := head.Length >= 0 || head.Chunked
		if foreign > maxForeignResponses || !delimited || head.Close {
			return fmt.Errorf("received a response to another request")
		}
		source.limited = false
		if n, err := io.Copy(io.Discard, io.LimitReader(body, maxForeignBytes)); err != nil || n == maxForeignBytes {
			return fmt.Errorf("response to another request not read to its end: %v", err)
		}
		source.limited, source.left = true, maxHeadBytes
	}
}
