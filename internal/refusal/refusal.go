package refusal

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Ran states whether a request was executed, as far as is known.
type Ran string

const (
	// NotRun means that no attempt on any host can have started the request.
	NotRun Ran = "not_run"
	// Unknown means that an attempt may have started the request.
	Unknown Ran = "unknown"
	// Complete means that the request ran to completion.
	Complete Ran = "complete"
)

// Code is the stable, machine-readable reason of a refusal.
type Code string

// The codes, grouped by HTTP status. Each status has one documented meaning.
const (
	InvalidRequest Code = "invalid_request"

	Unauthenticated Code = "unauthenticated"

	KeyWithdrawn Code = "key_withdrawn"
	Forbidden    Code = "forbidden"

	OperationMismatch Code = "operation_mismatch"
	OperationRunning  Code = "operation_running"
	OperationUnknown  Code = "operation_unknown"
	AnswerUnavailable Code = "answer_unavailable"

	TooLarge Code = "too_large"

	WrongHost Code = "wrong_host"

	NoRoute        Code = "no_route"
	UnknownModel   Code = "unknown_model"
	CrashesTargets Code = "crashes_targets"

	RateLimited Code = "rate_limited"
	Overloaded  Code = "overloaded"

	NoTarget     Code = "no_target"
	NoQuorum     Code = "no_quorum"
	Draining     Code = "draining"
	TargetFailed Code = "target_failed"
	Loop         Code = "loop"
	// UnknownOrigin means that a stream cannot be resumed, because it is not known which
	// software began it.
	UnknownOrigin Code = "unknown_origin"

	Deadline Code = "deadline"
)

var statuses = map[Code]int{
	InvalidRequest:    http.StatusBadRequest,
	Unauthenticated:   http.StatusUnauthorized,
	KeyWithdrawn:      http.StatusForbidden,
	Forbidden:         http.StatusForbidden,
	OperationMismatch: http.StatusConflict,
	OperationRunning:  http.StatusConflict,
	OperationUnknown:  http.StatusConflict,
	AnswerUnavailable: http.StatusConflict,
	TooLarge:          http.StatusRequestEntityTooLarge,
	WrongHost:         http.StatusMisdirectedRequest,
	NoRoute:           http.StatusNotFound,
	UnknownModel:      http.StatusUnprocessableEntity,
	CrashesTargets:    http.StatusUnprocessableEntity,
	RateLimited:       http.StatusTooManyRequests,
	Overloaded:        http.StatusTooManyRequests,
	NoTarget:          http.StatusServiceUnavailable,
	NoQuorum:          http.StatusServiceUnavailable,
	Draining:          http.StatusServiceUnavailable,
	TargetFailed:      http.StatusServiceUnavailable,
	Loop:              http.StatusServiceUnavailable,
	UnknownOrigin:     http.StatusServiceUnavailable,
	Deadline:          http.StatusGatewayTimeout,
}

// Status returns the HTTP status of the code. For an unknown code, which can only come
// from a newer host, it returns 503 Service Unavailable.
func (c Code) Status() int {
	if s, ok := statuses[c]; ok {
		return s
	}
	return http.StatusServiceUnavailable
}

// Error is the refusal of a request.
type Error struct {
	Code       Code
	Ran        Ran
	Message    string
	RetryAfter time.Duration
	// Hosts are the HTTP addresses of hosts that may serve the request.
	Hosts []string
}

// New returns a refusal with a formatted message.
func New(code Code, ran Ran, format string, args ...any) *Error {
	return &Error{Code: code, Ran: ran, Message: fmt.Sprintf(format, args...)}
}

// WithRetry sets the time after which a retry may succeed and returns e.
func (e *Error) WithRetry(after time.Duration) *Error {
	e.RetryAfter = after
	return e
}

// WithHosts sets the hosts that may serve the request and returns e.
func (e *Error) WithHosts(hosts []string) *Error {
	e.Hosts = hosts
	return e
}

func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s): %s", e.Code, e.Ran, e.Message)
}

// From returns err as a refusal. An error that is not a refusal becomes target_failed
// with ran unknown, because nothing proves that the request did not run.
func From(err error) *Error {
	if e, ok := errors.AsType[*Error](err); ok {
		return e
	}
	return New(TargetFailed, Unknown, "%v", err)
}

// Body is the JSON form of a refusal.
type Body struct {
	Error Detail `json:"error"`
}

// Detail is the content of Body.
type Detail struct {
	Code         Code     `json:"code"`
	Message      string   `json:"message"`
	Ran          Ran      `json:"ran"`
	RetryAfterMS int64    `json:"retry_after_ms,omitempty"`
	Hosts        []string `json:"hosts,omitempty"`
	RequestID    string   `json:"request_id,omitempty"`
}

// Body returns the JSON form of e for the request with the given id.
func (e *Error) Body(requestID string) Body {
	return Body{Error: Detail{
		Code: e.Code, Message: e.Message, Ran: e.Ran,
		RetryAfterMS: e.RetryAfter.Milliseconds(), Hosts: e.Hosts, RequestID: requestID,
	}}
}
