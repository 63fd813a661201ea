// Package rendezvous orders hosts for a key by highest random weight: all hosts
// compute the same order, each key has another one, and a host that joins or leaves
// moves only its own keys.
package rendezvous

import "github.com/cespare/xxhash/v2"

// Weight is the weight of a host for a key; the highest is first.
func Weight(key, host string) uint64 { return xxhash.Sum64String(key + "\x00" + host) }
