package control

// FailDisk makes every later write of the voter's log fail.
func FailDisk(n *Node) error { return n.storage.Close() }
