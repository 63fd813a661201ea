// Package quota enforces a workspace's token rate and burst over all hosts
// together. All amounts inside the package are in units of a millionth of a
// token, and all times are readings of a host's monotonic clock.
//
// Invariant: the spendable amount of a workspace, which is the sum of all
// bucket levels, refundable credits and unsettled loans over all hosts, is at
// most its burst and rises by at most its rate. Tokens admitted in any interval
// of length t are therefore at most burst + rate*t.
package quota
