// Package fleetsync synchronises entry hosts and control hosts without a list of
// hosts in the settings. Each entry host calls every control host that it has
// discovered, a few times a second: it reports its own state and its demand for
// rates, and receives the changes of the configuration and the targets, the other
// hosts, and the fractions of the rates that it may use. Control hosts relay to each
// other what they receive.
//
// A response carries an upper bound on the age of the control host's state. The entry
// host takes the time at which it sent the request, minus that age, as the time up to
// which its configuration includes every acknowledged change. It accepts keys for a
// bounded time after that.
package fleetsync
