package node

import "net/netip"

// isMember reports whether an address is that of another member's machine. Members connect
// to each other also while many others want to: without them there is no leader.
func (n *Node) isMember(address netip.Addr) bool {
	v := n.state.Load()
	if v == nil {
		return false
	}
	for _, m := range v.config.Members {
		if addressOf(n.linkOf(m.Name)) == address {
			return true
		}
	}
	for _, name := range n.settings.InitialVoters {
		if addressOf(n.linkOf(name)) == address {
			return true
		}
	}
	return false
}

// linkOf returns the link address of a member. Members that aren't known from the settings
// are named by it.
func (n *Node) linkOf(name string) string {
	if link, found := n.settings.Peers[name]; found {
		return link
	}
	return name
}

func (n *Node) ownLink() string { return n.linkOf(n.settings.Name) }

// addressOf returns the IP address of a link, or an invalid one if it has a host name or
// names no single machine.
func addressOf(link string) netip.Addr {
	a, err := netip.ParseAddrPort(link)
	if err != nil || a.Addr().IsUnspecified() {
		return netip.Addr{}
	}
	return a.Addr().Unmap()
}
