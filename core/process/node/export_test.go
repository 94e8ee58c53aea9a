package node

// Kill stops a member without transferring leadership.
func (n *Node) Kill() { n.cancel() }
