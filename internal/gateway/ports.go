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
	// Timeout is how long the caller waits; 0 when it does not say.
	Timeout time.Duration
	Key     string
	// Model and Parts describe the prompt of an engine request.
	Model    string
	Segments []placement.PromptSegment
	// PromptTokens and MaxOutputTokens are its tokens; TokensKnown tells that the caller gave them.
	PromptTokens, MaxOutputTokens int64
	TokensKnown                   bool
	// ExpectedOutput is the caller's estimate of the tokens of the answer, of which Output is
	// the most; 0 when it has none.
	ExpectedOutput int64
	// LastEvent is the last event that the caller has of a broken stream.
	LastEvent string
}

// CallerProtocol reads requests of callers and writes refusals to them.
type CallerProtocol interface {
	Decode(r *http.Request) (Call, error)
	// WriteRefusal writes a refusal.
	WriteRefusal(w http.ResponseWriter, id string, e *refusal.Error)
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
	// CacheSource is the address of a target that has parts of the prompt, or "".
	CacheSource string
}

// Classification is what the head of an answer says.
type Classification struct {
	// NotRun means that the target proves that it has not run the request.
	NotRun bool
	// Misdirected means that another target has the address.
	Misdirected bool
	// Success means a whole answer, once its body is whole.
	Success bool
	// Signed answers come from a target's own run.
	Signed bool
}

// TargetProtocol writes requests for targets and reads their answers.
type TargetProtocol interface {
	// RequestHeader returns the caller's header as it may be passed on.
	RequestHeader(caller http.Header) http.Header
	// SetDispatch adds what the gateway says to a header of Header.
	SetDispatch(h http.Header, d Dispatch)
	// MatchesRequest reports whether an answer belongs to the request with the id.
	MatchesRequest(id string, status int, answer http.Header) bool
	Classify(status int, answer http.Header) Classification
	// ResponseHeader returns the header of an answer as it may be passed on.
	ResponseHeader(h http.Header) http.Header
}

// ConfigurationDecoder decodes documents.
type ConfigurationDecoder interface {
	Decode(content []byte) (*document.Document, error)
}
