// Package crowd tests real processes against callers that nobody controls: each test opens a
// crowd of connections that take memory or descriptors, and checks that the process lives,
// that both stay under a bound, and that one ordinary request is answered while the crowd is
// still there. It has tests only. They run one at a time and apart from other packages.
package crowd
