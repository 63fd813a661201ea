// Package origins remembers which software began a stream. What two versions of a
// service's software write does not fit together, so a stream that breaks off may
// continue only on the version that began it.
package origins
