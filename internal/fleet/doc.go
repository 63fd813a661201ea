// Package fleet implements the replicated configuration: revisions of the rules
// file, caller keys and registered hosts. Machine is the state machine on the
// voters; Replica is the published state from which every host serves.
package fleet
