// Package quota enforces a workspace's token rate and burst over all hosts
// together. All amounts inside the package are in units of a millionth of a
// token, and all times are readings of a host's monotonic clock.
//
// An allocation in the replicated log divides the rate and burst of a workspace.
// One half is divided into floors: guaranteed shares of a few hosts in each data
// centre, the holders, which they can spend without contact to other hosts. The
// rest is the elastic bucket, which the leader of the log keeps while it has the
// leader lease. A host that needs more tokens than it has borrows them from the
// floors of other hosts or from the elastic bucket. Such loans expire soon.
//
// Invariant: the spendable amount of a workspace, which is the sum of all
// bucket levels, refundable credits and unsettled loans over all hosts, is at
// most its burst and rises by at most its rate. Tokens admitted in any interval
// of length t are therefore at most burst + rate*t.
package quota
