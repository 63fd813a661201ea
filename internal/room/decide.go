package room

import (
	"math"
	"time"
)

const (
	// MinForwardGain is how much lower the expected cost in another region must be for
	// a request to be forwarded, as a fraction of the credit of the request.
	MinForwardGain = 0.12
	// NoEnd is the time that a host has left that is not stopping.
	NoEnd = time.Duration(math.MaxInt64)
)

// Place is what is known of one place that may serve the request.
type Place struct {
	// TTFB and Total are the expected times to the first byte and to the end of the
	// response, Idle that to the first byte without other work there, Cost the expected cost as
	// a fraction of the credit of the request.
	TTFB, Total, Idle time.Duration
	Cost              float64
	// Limit is the longest expected TTFB at which the request is sent there.
	Limit time.Duration
}

// fits reports whether the expected time to the first byte keeps to its limit.
func (p *Place) fits() bool { return p.TTFB <= p.Limit }

// Inputs is what is known about a request and the places for it. Estimates include the age of
// what they are based on: places whose load is too old are left out by the caller.
type Inputs struct {
	// Here is the best target of this region; nil if none can take the request now.
	Here *Place
	// HereLimit is the limit that applies if there is no place at all.
	HereLimit time.Duration
	// LastResort means that this host could not connect to the target of Here.
	LastResort bool
	// OutOfStep means that the software of the targets of this region is not certain, so that a
	// stream cannot continue there.
	OutOfStep bool
	// HereIn is the time until a target of this region takes requests again; 0 if one does now
	// or none is expected to.
	HereIn time.Duration
	// There is the best host of another region, or another host of this region that
	// may stand in for this one; nil if there is none.
	There *Place
	// Pressure is how much the request should give way to others in this region. Draw, from 0 to
	// 1, is random for each request; see Pressure.LimitAt.
	Pressure Pressure
	Draw     float64
	// Spare is the best host of another region to which this host may send work to make room
	// here; nil if there is none.
	Spare *Place
	// EndsIn is the time that this host has left before it stops; NoEnd if it does not stop or
	// the request may not be moved any more.
	EndsIn time.Duration
}

// Action is what to do with a request.
type Action int

// The actions.
const (
	Serve   Action = iota // at the target of Inputs.Here
	Forward               // to the host of Decision.Place, which is Inputs.There or Inputs.Spare
	Refuse
)

// Reason is why a request is decided on as it is.
type Reason string

// The reasons.
const (
	// ReasonFits: the place is expected to begin the response within its limit and no other is
	// clearly better.
	ReasonFits Reason = "fits"
	// ReasonCheaper: the other place costs clearly less.
	ReasonCheaper Reason = "cheaper"
	// ReasonOnly: the other place is the only one, or the only one within its limit.
	ReasonOnly Reason = "only"
	// ReasonDisplaced: the request leaves its place here to others that cannot go elsewhere or
	// are more urgent.
	ReasonDisplaced Reason = "displaced"
	// ReasonYields: it is refused for more urgent ones, as no other region has room for it.
	ReasonYields Reason = "yields"
	// ReasonLate: the response is not expected to begin within the limit anywhere.
	ReasonLate Reason = "late"
	// ReasonStopping: this host stops before the response would end.
	ReasonStopping Reason = "stopping"
	// ReasonOutOfStep: it is not certain which targets can continue the stream.
	ReasonOutOfStep Reason = "out_of_step"
	// ReasonNoTarget: no place can take the request now.
	ReasonNoTarget Reason = "no_target"
)

// Decision is the answer of Decide.
type Decision struct {
	Action Action
	Reason Reason
	// Place is the place that was weighed last; nil if there was none. It is also set if the
	// request is refused.
	Place *Place
	// Limit is the limit that applied, RetryIn how long after a refusal for ReasonLate or
	// ReasonYields the request may come back at the earliest.
	Limit, RetryIn time.Duration
}

// displacementCost is the cost of a place here at full pressure, as a fraction of the credit
// of the request that takes it.
const displacementCost = 1.0

// Decide decides on a request. Only a request that would be served here gives way to others.
func Decide(in *Inputs) Decision {
	d := decide(in)
	if d.Action != Serve || in.Pressure.Move <= 0 {
		return d
	}
	limit := in.Pressure.LimitAt(in.Here.Limit, in.Here.Idle, in.Draw)
	yields := in.Here.TTFB > limit
	cost := in.Here.Cost + displacementCost*in.Pressure.Move
	if in.Spare != nil && in.Spare.fits() && in.Spare.Total <= in.EndsIn && (yields || in.Spare.Cost+MinForwardGain < cost) {
		return Decision{Action: Forward, Reason: ReasonDisplaced, Place: in.Spare, Limit: in.Spare.Limit}
	}
	if yields {
		d.Limit, d.RetryIn = limit, in.Here.TTFB-limit
		return d.refuse(ReasonYields)
	}
	return d
}

// decide decides on a request that gives way to no others.
func decide(in *Inputs) Decision {
	d := Decision{Action: Serve, Reason: ReasonFits, Place: in.Here, Limit: in.HereLimit}
	if in.Here != nil {
		d.Limit = in.Here.Limit
	}
	if reason, forward := in.prefersThere(); forward {
		d = Decision{Action: Forward, Reason: reason, Place: in.There, Limit: in.There.Limit}
	}
	var ttfb, total time.Duration
	if d.Place != nil {
		ttfb, total = d.Place.TTFB, d.Place.Total
	}
	switch {
	case total > in.EndsIn:
		return d.refuse(ReasonStopping)
	case d.Action == Serve && in.OutOfStep:
		return d.refuse(ReasonOutOfStep)
	case d.Place == nil, ttfb > d.Limit && in.Here == nil && in.HereIn > 0:
		return d.refuse(ReasonNoTarget)
	case ttfb > d.Limit:
		d.RetryIn = ttfb - d.Limit
		return d.refuse(ReasonLate)
	}
	return d
}

// prefersThere reports whether the other place is preferred to a target of this region.
func (in *Inputs) prefersThere() (Reason, bool) {
	if in.There == nil {
		return "", false
	}
	// A place with a lower cost must not hide one that can meet its limit.
	if here := in.Here != nil && in.Here.fits(); here != in.There.fits() {
		return ReasonOnly, !here
	}
	switch {
	case in.Here == nil, in.LastResort:
		return ReasonOnly, true
	case in.There.Cost+MinForwardGain < in.Here.Cost:
		return ReasonCheaper, true
	}
	return "", false
}

func (d Decision) refuse(reason Reason) Decision {
	d.Action, d.Reason = Refuse, reason
	return d
}
