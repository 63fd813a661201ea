// Package engine models an engine that reads prompts in chunks between the steps of running
// responses, and learns its rates from what a host observes. It does no I/O.
//
// Model says when a response begins, how long its events take and when it ends. Calibration
// learns the rates of a service: each host keeps sums over its own observations, and what
// the hosts of a region know together is the sum of these sums. Pace is the correction for
// one process of a target.
package engine
