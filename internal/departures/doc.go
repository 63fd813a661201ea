// Package departures decides when a control host may acknowledge that a target leaves, and
// which departures it tells to which other control hosts. It does no I/O.
//
// A target that has left sends nothing more that would make up for a lost departure, and it
// may serve for a long time after. So a departure is acknowledged only when it outlives what
// a deployment has to bear: the loss of LostDisks control hosts with their disks, or of all
// hosts of a region, while all other hosts lose power. Until then the host that was told
// already acts on it.
//
// Departures are those rows of the target table that are not ready. The table numbers its
// changes, so that a position in it says which departures a disk or another host has. A
// process that starts again without what its disk had is told all of them again.
package departures
