package gateway

import (
	"net/http"
	"time"

	"geraniumturn.example/geraniumturn/internal/document"
	"geraniumturn.example/geraniumturn/internal/placement"
	"geraniumturn.example/geraniumturn/internal/refusal"
)

// Call is a caller's request, decoded from its head.
type Call struct {
	// ID is the caller's id of this attempt.
	ID string
	// Patience is how long the caller waits; 0 when it does not say.
	Patience time.Duration
	Key      string
	// Model and Parts describe the prompt of an engine request.
	Model string
	Parts []placement.PromptSegment
	// Prompt and Output are its tokens; Counted tells that the caller gave them.
	Prompt, Output int64
	Counted        bool
	// Likely is the caller's estimate of the tokens of the answer, of which Output is
	// the most; 0 when it has none.
	Likely int64
	// LastEvent is the last event that the caller has of a broken stream.
	LastEvent string
}

// CallerProtocol reads requests of callers and writes refusals to them.
type CallerProtocol interface {
	Decode(r *http.Request) (Call, error)
	// Refuse writes a refusal.
	Refuse(w http.ResponseWriter, id string, e *refusal.Error)
}

// Dispatch is what the gateway adds to a request for a target.
type Dispatch struct {
	// Target is the id of the target that must run it.
	Target    string
	Workspace string
	// Remaining is how long the caller still waits.
	Remaining time.Duration
	// Urgency is 0 for the most urgent requests and 5 for usual ones.
	Urgency int
	// LastEvent is where a stream is to be continued; "" leaves what the caller sent.
	LastEvent string
	// Source is the address of a target that has parts of the prompt, or "".
	Source string
}

// Verdict is what the head of an answer says.
type Verdict struct {
	// NotRun means that the target proves that it has not run the request.
	NotRun bool
	// Elsewhere means that another target has the address.
	Elsewhere bool
	// Success means a whole answer, once its body is whole.
	Success bool
	// Signed answers come from a target's own run.
	Signed bool
}

// TargetProtocol writes requests for targets and reads their answers.
type TargetProtocol interface {
	// Header returns the caller's header as it may be passed on.
	Header(caller http.Header) http.Header
	// Address adds what the gateway says to a header of Header.
	Address(h http.Header, d Dispatch)
	// Owns reports whether an answer belongs to the request with the id.
	Owns(id string, status int, answer http.Header) bool
	Judge(status int, answer http.Header) Verdict
	// Answer returns the header of an answer as it may be passed on.
	Answer(h http.Header) http.Header
}

// ConfigurationCodec decodes documents.
type ConfigurationCodec interface {
	Decode(content []byte) (*document.Document, error)
}
