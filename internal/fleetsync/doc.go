// Package fleetsync keeps entry hosts up to date without a list of hosts in the
// settings. Each entry host calls every control host that it has heard of, a few
// times a second: it reports itself and its demand, and gets what changed of the
// configuration, the targets, the other hosts and its part of the rates. Control
// hosts relay to each other what they heard.
//
// An answer says how old the control host's state may be. The entry host takes the
// time at which it sent the request, less that age, as the time up to which its
// configuration holds every acknowledged change; keys are accepted for a bounded
// time after it.
package fleetsync
