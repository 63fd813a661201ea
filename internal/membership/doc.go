// Package membership detects which hosts are alive. Detector is the failure detector and
// does no I/O. Members wraps it for concurrent use and answers the queries of other
// components.
package membership
