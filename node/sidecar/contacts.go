package sidecar

import (
	"net"
	"slices"
	"sync"
)

// maxContacts limits the number of remembered nodes; a single one that answers is enough.
const maxContacts = 8

// contacts holds the hosts of nodes that have called this one recently. If the store stops
// answering a process before it has read the nodes' entries, they are the only nodes through which
// it can reach the store. It is safe for concurrent use.
type contacts struct {
	// host and port are this node's own; all nodes listen for peers on the same port.
	host, port string

	mu    sync.Mutex
	hosts []string
}

func newContacts(listenAddress string) *contacts {
	host, port, err := net.SplitHostPort(listenAddress)
	if err != nil {
		panic("invalid listen.peers address: " + err.Error())
	}
	return &contacts{host: host, port: port}
}

// add records the host of a calling node; the most recent one is last.
func (c *contacts) add(remote string) {
	host, _, err := net.SplitHostPort(remote)
	if err != nil || host == c.host {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := len(c.hosts); n > 0 && c.hosts[n-1] == host {
		return
	}
	c.hosts = slices.DeleteFunc(c.hosts, func(h string) bool { return h == host })
	c.hosts = append(c.hosts, host)
	c.hosts = c.hosts[max(0, len(c.hosts)-maxContacts):]
}

// addresses returns the peer addresses of the remembered nodes.
func (c *contacts) addresses() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make([]string, len(c.hosts))
	for i, host := range c.hosts {
		list[i] = net.JoinHostPort(host, c.port)
	}
	return list
}
