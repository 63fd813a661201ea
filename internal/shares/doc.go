// Package shares divides limits that bind the sum over all hosts. It does no I/O.
//
// A host may use only what it holds. Allocator runs on the control leader and
// gives each host a fraction of a workspace's rate by its demand; what a host may
// still hold stays reserved until its lease has ended on both clocks. Bucket is a
// host's part of a rate. Budget bounds the repeats of a host in a sliding window,
// and Pace the requests to a cold target.
package shares
