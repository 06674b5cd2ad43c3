package sidecar

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/auburnrelay/auburnrelay/objects/memstore"
)

const (
	// lostTime is the time whose writes a restored store has lost.
	lostTime = 6 * time.Second
	// absence is how long a store is away before it returns from a copy.
	absence = 2 * time.Second
	// servedAgainLimit is the time within which keys of a lost node are served again while the store answers.
	servedAgainLimit = 3 * time.Second
)

// restoreStore makes the store unavailable for the time of absence and then returns it to the copy.
func (s *deployment) restoreStore(c memstore.Copy) {
	memory := s.store.Memory()
	memory.SetFaults(memstore.Faults{Down: true})
	time.Sleep(absence)
	memory.Restore(c)
	memory.SetFaults(memstore.Faults{})
}

// routeConfig returns a configuration with a further route for each version from 2 on.
func routeConfig(version int) string {
	var further strings.Builder
	for i := 2; i <= version; i++ {
		fmt.Fprintf(&further, `{"name":"r-%d","kind":"idempotent","slo-s":0.5,"priority":2,"match":{"path-prefix":"/route%d/"},`+
			`"action":{"service":"s","timeout-s":2,"attempts":2}},`, i, i)
	}
	return strings.Replace(fmt.Sprintf(configText, version), `"rules":[`, `"rules":[`+further.String(), 1)
}

func TestConfigurationIsInForceAfterARestoredStore(t *testing.T) {
	s := newDeployment(t, "k", "k", "s", "s")
	s.awaitServed(15*time.Second, s.nodes...)
	older := s.store.Memory().Copy()
	s.putConfig(2, routeConfig(2))
	time.Sleep(lostTime)
	s.restoreStore(older)
	s.putConfig(2, routeConfig(2))
	time.Sleep(500 * time.Millisecond)
	s.putConfig(3, routeConfig(3))
	deadline := time.Now().Add(configBound)
	for _, n := range s.nodes {
		if !s.awaitRoute(n, "/route3/", deadline) {
			t.Errorf("%s does not serve an added route %v after its acknowledgement", n.name, configBound)
		}
		if status, _ := s.send(n, http.MethodGet, "/route2/", -1); status != http.StatusOK {
			t.Errorf("%s does not serve a route that was in force before the store returned", n.name)
		}
	}
}

func TestTargetsAreRoutableAfterARestoredStore(t *testing.T) {
	s := newDeployment(t, "k", "k", "s", "s")
	s.awaitServed(15*time.Second, s.nodes...)
	older := s.store.Memory().Copy()
	time.Sleep(lostTime)
	s.restoreStore(older)
	var served, asked atomic.Int64
	var group sync.WaitGroup
	for began := time.Now(); time.Since(began) < lostTime; time.Sleep(10 * time.Millisecond) {
		group.Go(func() {
			i := int(asked.Add(1))
			path, key := "/look/x", i*4099%65536
			if i%2 == 0 {
				path, key = "/read/x", -1
			}
			if status, _ := s.send(s.nodes[i%len(s.nodes)], http.MethodGet, path, key); status == http.StatusOK {
				served.Add(1)
			}
		})
	}
	group.Wait()
	if share := float64(served.Load()) / float64(asked.Load()); share < 0.95 {
		t.Errorf("%.2f of the requests were served in the %v after the store returned", share, lostTime)
	}
	s.reportViolations()
}

func TestKeysHaveOneOwnerAfterARestoredStore(t *testing.T) {
	s := newDeployment(t, "k", "k")
	s.awaitServed(15*time.Second, s.nodes...)
	older := s.store.Memory().Copy()
	s.addNode("vm-3", "k")
	time.Sleep(lostTime)
	s.nodes[2].target.mu.Lock()
	held := len(s.nodes[2].target.holds)
	s.nodes[2].target.mu.Unlock()
	if held == 0 {
		t.Fatal("the target that joined holds no keys")
	}
	s.restoreStore(older)
	stop := s.sendSteadily("/look/x", 7, 50*time.Millisecond, s.nodes...)
	time.Sleep(20 * time.Second)
	stop()
	s.awaitServed(5*time.Second, s.nodes...)
	s.reportViolations()
}

func TestKeysOfARestartedNodeAreServedAfterARestoredStore(t *testing.T) {
	s := newDeployment(t, "k", "k", "k")
	s.awaitServed(15*time.Second, s.nodes...)
	older := s.store.Memory().Copy()
	time.Sleep(lostTime)
	s.store.Memory().SetFaults(memstore.Faults{Down: true})
	s.nodes[0].restart(t)
	s.restoreStore(older)
	s.awaitServed(servedAgainLimit, s.nodes...)
}
