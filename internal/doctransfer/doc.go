// Package doctransfer moves the content of the configuration document between hosts.
//
// Control hosts confirm which version is newest, with its digest and length; how the
// content of that version reaches a host is decided here. Source keeps the contents of the
// last versions and answers with parts of their compressed form, or of a delta to a version
// that the caller has. Fetcher, on each entry host, asks for one version at a time, in
// parts, from one source at a time: the hosts of its data centre first, then those of its
// region, then others. It goes on at the offset that it has reached when a source fails,
// and uses a content only if its digest is the one that a control host has confirmed.
//
// When many hosts need the same version, a few of each data centre, the first by
// rendezvous hashing, may take it from outside at once. The others wait for these and get
// it from them. A source bounds its concurrent transfers, and names hosts to which it has
// handed a version when it is busy.
//
// Both types do no I/O: requests, responses and the time go in, calls come out.
package doctransfer
