// Package targets keeps the table of announced targets: what each one serves,
// its load, its health and whether it may get new requests. The hosts of a data
// centre relay announcements and in-flight counts to each other.
package targets
