package engine

import (
	"math"
	"time"
)

// Rates are the performance figures of an engine.
type Rates struct {
	// First is the time to the first event aside from reading prompts.
	First time.Duration
	// Read is the time in which an engine reads a prompt token while no response runs,
	// ReadPerRunning its increase for each running response.
	Read, ReadPerRunning float64 // ns
	// Event is the time between two events of a response that runs alone while no prompt is
	// read, EventPerRunning its increase for each running response, and EventPerMemory for
	// each token in the memory of the engine.
	Event, EventPerRunning, EventPerMemory float64 // ns
	// EventsPerToken is the number of events for each output token that the caller expects.
	EventsPerToken float64
	// QueueScale is the wait for a prompt as a multiple of the time in which those known to
	// be ahead of it are read. It covers what hosts do not know of each other's requests.
	QueueScale float64
	// StreamScale is the time from the first event to the last one as a multiple of what the
	// other rates say.
	StreamScale float64
	// Hidden is the mean delay of first events by requests that hosts did not know of.
	Hidden time.Duration
	// Deviation is the mean error of the forecasts of first events.
	Deviation time.Duration
}

// Load is what is known of an engine at a choice.
type Load struct {
	Running int
	// Memory is the number of tokens in its memory, Unread that of the prompt tokens that it
	// has not read yet.
	Memory, Unread float64
	// Arriving is the number of unread prompt tokens that are sent to it in a second.
	Arriving float64
	// Pace is the time that the engine takes as a multiple of the usual time; 0 means 1.
	Pace float64
}

func (l Load) pace() float64 {
	if l.Pace <= 0 {
		return 1
	}
	return l.Pace
}

// maxReading is the largest part of its time that an engine is assumed to read prompts
// while it also runs responses.
const maxReading = 0.7

// Forecast is the expected course of a response.
type Forecast struct {
	// Idle is the time to the first event at an idle engine, Queue the wait behind prompts
	// that the engine has yet to read.
	Idle, Queue time.Duration
	// Stream is the time from the first event to the last one.
	Stream time.Duration
}

// First returns the time to the first event.
func (f Forecast) First() time.Duration { return f.Idle + f.Queue }

// ReadTime returns the time in which an engine with a number of running responses reads
// prompt tokens.
func (r Rates) ReadTime(tokens float64, running int) time.Duration {
	return time.Duration(max(0, tokens) * (r.Read + r.ReadPerRunning*float64(running)))
}

// EventTime returns the time between two events while no prompt is read.
func (r Rates) EventTime(running int, memory float64) time.Duration {
	return time.Duration(r.Event + r.EventPerRunning*float64(running) + r.EventPerMemory*memory)
}

// Reading returns the part of its time that an engine reads prompts which go on arriving.
func (r Rates) Reading(l Load) float64 {
	return min(maxReading, l.pace()*l.Arriving*(r.Read+r.ReadPerRunning*float64(l.Running))/float64(time.Second))
}

// Forecast returns the expected course of a response to a prompt with a number of tokens to
// be read and an expected number of output tokens.
func (r Rates) Forecast(l Load, unread, output float64) Forecast {
	f := r.nominal(l, unread, output)
	f.Queue, f.Stream = scaled(f.Queue, r.QueueScale)+r.Hidden, scaled(f.Stream, r.StreamScale)
	return f
}

// nominal is Forecast by the rates of the engine alone.
func (r Rates) nominal(l Load, unread, output float64) Forecast {
	events := math.Max(1, output*r.EventsPerToken) - 1
	stream := scaled(r.EventTime(l.Running+1, l.Memory), events*l.pace()/(1-r.Reading(l)))
	return Forecast{
		Idle:   r.First + r.ReadTime(unread, 0),
		Queue:  scaled(r.ReadTime(l.Unread+unread, l.Running), l.pace()) - r.ReadTime(unread, 0),
		Stream: stream,
	}
}

func scaled(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}
