package node

// Kill stops a member without handing over leadership.
func (n *Node) Kill() { n.stop() }
