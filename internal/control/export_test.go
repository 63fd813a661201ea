package control

// FailDisk closes the file of the voter's log, so that every later write to it fails.
func FailDisk(n *Node) error { return n.storage.Close() }
