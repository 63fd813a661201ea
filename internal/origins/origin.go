package origins

// Origin is what began a stream.
type Origin struct {
	Service string
	// Software is the version of the software of the target.
	Software string
}
