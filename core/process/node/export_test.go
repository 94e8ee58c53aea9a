package node

// Kill stops a member without transferring leadership.
func (n *Node) Kill() { n.cancel() }

// MostOnDisk returns the size of two snapshots, the largest log, what a follower
// gets before its snapshot is durable, and the rest of a segment.
func MostOnDisk(diskBytes int64) int64 {
	b := newBudget(diskBytes, 0)
	segment := max(diskBytes/64, 64<<10)
	return 2*b.state + b.maxLog() + b.log + segment
}
