package sidecar

import (
	"net"
	"slices"
	"sync"
)

// maxContacts bounds the addresses that are remembered; one that answers is enough.
const maxContacts = 8

// contacts are nodes that have called this one lately. A process that the store turns away before
// it has read any entry knows no other nodes. It is safe for concurrent use.
type contacts struct {
	// host and port are the node's own; all nodes listen for others at the same port.
	host, port string

	mu    sync.Mutex
	hosts []string
}

func newContacts(own string) *contacts {
	host, port, err := net.SplitHostPort(own)
	if err != nil {
		panic("the listener's address was not checked: " + err.Error())
	}
	return &contacts{host: host, port: port}
}

// note remembers the host of a caller, the latest last.
func (c *contacts) note(remote string) {
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

// addresses returns where the remembered nodes listen.
func (c *contacts) addresses() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make([]string, len(c.hosts))
	for i, host := range c.hosts {
		list[i] = net.JoinHostPort(host, c.port)
	}
	return list
}
