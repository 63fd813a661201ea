package fleet

import "slices"

// DecideStart decides whether a host without a stored state may start to serve, and
// from which host it first fetches the state. currentIndex is the index of its
// replica, and indexes holds the index of each host that responded, by name. source is
// the responding host with the highest index, the first by name among equals, or empty
// if none is ahead of currentIndex. mayServe is true if a voter responded or the wait
// for one has timed out; after the timeout, hosts of an isolated data centre start with
// the highest state that is available there.
func DecideStart(currentIndex uint64, indexes map[string]uint64, voters []string, timedOut bool) (source string, mayServe bool) {
	mayServe = timedOut
	highest := currentIndex
	for name, index := range indexes {
		mayServe = mayServe || slices.Contains(voters, name)
		if index > highest || (index == highest && source != "" && name < source) {
			source, highest = name, index
		}
	}
	return source, mayServe
}
