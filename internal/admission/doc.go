// Package admission queues requests for the targets of this data centre. Each
// pool has a weighted fair queue whose cost unit is the token. Interactive
// requests come before batch requests, which get at least a tenth of the tokens
// while both wait. A request that cannot meet its deadline is refused early.
package admission
