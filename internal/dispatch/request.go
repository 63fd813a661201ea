package dispatch

import (
	"context"
	"time"

	"geraniumturn.example/geraniumturn/internal/rules"
	"geraniumturn.example/geraniumturn/internal/targets"
)

// Request is a caller's request after the checks of package entry. It holds no
// caller key and only allow-listed headers.
type Request struct {
	ID        string
	Workspace string
	Method    string
	Path      string
	Query     string
	Header    map[string]string
	Body      []byte

	Pool   string
	Kind   rules.PoolKind
	Model  string
	Stream bool
	Class  rules.Class
	Reach  rules.Reach
	// Idempotent is true if the request may be dispatched again after a failure.
	Idempotent bool
	// Residency lists the data centres that the request may reach; empty means all.
	Residency []string
	// Cost is the sum of prompt and maximum output, in tokens.
	Cost int64
	// Deadline is absolute and applies to all attempts on all hosts.
	Deadline time.Time
	// Budget is the number of dispatches left over all hosts.
	Budget int
	// Visited lists the names of the hosts that have handled the request.
	Visited []string
	// Fingerprint is the same for equal requests, see package suspects.
	Fingerprint string
	// Prefixes are digests of prompt prefixes of increasing length.
	Prefixes []uint64
}

// Forwarded reports whether the request came from another host.
func (r *Request) Forwarded() bool { return len(r.Visited) > 1 }

// Sink receives the response. Start is called once, before any Write.
type Sink interface {
	Start(status int, header map[string]string) error
	Write(p []byte) error
}

// Result describes a complete response.
type Result struct {
	Status           int
	PromptTokens     int64
	CompletionTokens int64
	Target           string
	// ServedRemotely is true when another data centre served the request.
	ServedRemotely bool
	// Dispatches is the number of attempts on targets over all hosts.
	Dispatches int
}

// Choice is where the next attempt goes: a local target or another host.
type Choice struct {
	Target *targets.Target
	Host   *Host
}

// Host is a host that requests can be forwarded to.
type Host struct {
	Name        string
	DataCentre  string
	PeerAddress string
}

// Tried records the targets and data centres that earlier attempts of a request
// used.
type Tried struct {
	Targets     map[string]bool
	DataCentres map[string]bool
}

// Chooser selects the target or host for an attempt. It returns a refusal when
// there is none. Choose may wait for free capacity until the context ends.
type Chooser interface {
	Choose(ctx context.Context, req *Request, tried Tried) (Choice, error)
}

// Outcome is how an attempt on a target ended.
type Outcome struct {
	Request     *Request
	Target      string
	Incarnation uint64
	// Sent is false when certainly no byte was sent to the target.
	Sent bool
	// Complete is true when a complete response arrived.
	Complete bool
	// ConnectionFailed is true when the connection failed after the request was sent.
	ConnectionFailed bool
	// Cancelled is true when the caller or the deadline ended the attempt.
	Cancelled bool
	// Status is the HTTP status of the response, 0 without one.
	Status    int
	FirstByte time.Duration
	Duration  time.Duration
}

// Observer is notified of each attempt on a local target.
type Observer interface {
	AttemptBegins(req *Request, target *targets.Target)
	AttemptEnded(o Outcome)
}
