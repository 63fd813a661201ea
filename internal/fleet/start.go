package fleet

import "slices"

// DecideStart is the start rule of a host without a stored state. positions are
// the indexes of the hosts that answered. from is the host to take the state
// from, empty when none is ahead. start tells that the host may serve then:
// a voter answered, or it waited long enough that an isolated data centre may
// start hosts with the highest state it holds.
func DecideStart(held uint64, positions map[string]uint64, voters []string, late bool) (from string, start bool) {
	start = late
	highest := held
	for name, index := range positions {
		start = start || slices.Contains(voters, name)
		if index > highest || (index == highest && from != "" && name < from) {
			from, highest = name, index
		}
	}
	return from, start
}
