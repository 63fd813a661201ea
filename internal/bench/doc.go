// Package bench sends generated load to running hosts and reports the five
// measures of the users: cost, tail latency, share sent away, worst-served
// workspace, and refusals within rate. Arrivals are open loop: a request is
// sent at its time whatever happened to earlier ones, and its latency counts
// from that time, so queueing is not hidden.
package bench
