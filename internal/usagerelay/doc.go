// Package usagerelay spreads the usage reports of the entry hosts of a region at a cost
// for each host that does not grow with the number of hosts.
//
// In a small region every host reports to every other one. In a larger one a few hosts
// are relays: each host calls one of them, which returns what it has received from others
// since the previous call, and the relays send what they collected to each other. A report
// reaches all hosts over at most two relays. Which hosts relay follows by rendezvous
// hashing from the hosts that are known, so it is agreed without messages. Hosts that
// disagree for a moment, or whose relay fails, lose no more than the time until the next
// report: a relay serves every host that calls it.
package usagerelay
