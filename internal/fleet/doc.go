// Package fleet holds the replicated configuration: revisions of the rules
// file and caller keys. Machine is applied on the voters; Copy is the
// published state that every host serves from.
package fleet
