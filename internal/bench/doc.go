// Package bench sends generated load to running hosts and reports the five measures
// that users of the gateway compare: cost, tail latency, share of responses from
// another data centre, worst-served workspace, and refusals within rate. The load is
// open loop: each request is sent at its scheduled time regardless of earlier ones,
// and its latency counts from that time, so that queueing delay is included.
package bench
