// Package shares divides global limits among the hosts, so that the sum over all hosts
// stays within each limit. It does no I/O.
//
// A host may use only the fraction that it was granted. Allocator runs on the control
// leader and leases to each host a fraction of a workspace's rate according to its
// demand; a fraction stays reserved until its lease has expired on both clocks. Bucket
// is the token bucket of a host for its fraction. RetryBudget bounds the retries of a
// host in a sliding window, Pacer the requests of a host to a cold target.
// PartitionAllocator leases to each host partitions of the permits of such targets.
package shares
