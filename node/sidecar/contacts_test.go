package sidecar

import (
	"fmt"
	"slices"
	"testing"
)

func TestContacts(t *testing.T) {
	c := newContacts("10.0.0.1:7000")
	for _, remote := range []string{"10.0.0.2:40000", "10.0.0.3:40001", "10.0.0.1:40002", "10.0.0.2:40003", "no address"} {
		c.add(remote)
	}
	if got := c.addresses(); !slices.Equal(got, []string{"10.0.0.3:7000", "10.0.0.2:7000"}) {
		t.Errorf("got %v", got)
	}
	for i := range 20 {
		c.add(fmt.Sprintf("10.0.1.%d:1", i))
	}
	if got := c.addresses(); len(got) != maxContacts || got[maxContacts-1] != "10.0.1.19:7000" {
		t.Errorf("got %v", got)
	}
}
