// Package references lets a host tell others again and again that something is as it told
// them before, at the cost of a number.
//
// A Sender gives each value that it tells a number, a ref, and never uses a ref for another
// value. It records which process of which other host has confirmed the value of a ref, and
// the value goes in full to all others. A Receiver keeps the values by sender process and
// ref. A message that is lost, late or out of order thus never stands for another value: a
// receiver that does not know a ref, because it has started anew or has forgotten it, names
// it in its response, and the sender tells the value again.
//
// There is no I/O here; the time is a parameter of each call.
package references
