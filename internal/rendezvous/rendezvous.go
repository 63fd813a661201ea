// Package rendezvous implements rendezvous hashing (highest random weight): all hosts
// compute the same order of hosts for a key, the order differs between keys, and a host
// that joins or leaves moves only its own keys.
package rendezvous

import "github.com/cespare/xxhash/v2"

// Weight returns the weight of a host for a key. The host with the highest weight is
// first in the order.
func Weight(key, host string) uint64 { return xxhash.Sum64String(key + "\x00" + host) }
