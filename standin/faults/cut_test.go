package faults

import (
	"testing"
	"time"

	"github.com/auburnrelay/auburnrelay/standin/execlog"
	"github.com/auburnrelay/auburnrelay/standin/fleet"
	"github.com/auburnrelay/auburnrelay/standin/link"
)

// TestCutOffFailureDomain cuts one of two failure domains off from the other and from the store, which is
// in a third, and later heals the cut. The domain that can reach the store must serve every key again
// in time. The one cut off must start nothing after its leases have expired, or a key could be
// executed on both sides.
func TestCutOffFailureDomain(t *testing.T) {
	withNetwork := func(o *Options) {
		o.Network = &fleet.Network{
			StorePlace:  link.Place{Region: Cell, FailureDomain: "store"},
			DomainDelay: time.Millisecond,
			RegionDelay: link.DefaultRegionDelay,
			RegionMbits: link.DefaultRegionMbits,
		}
	}
	for _, c := range []struct {
		name      string
		selectVMs vmSelector
	}{{"of the controller", controller}, {"of the standby", standby}} {
		t.Run(c.name, func(t *testing.T) {
			s := newScenario(t, withNetwork)
			domain := domainOf(s, c.selectVMs(t, s)[0])
			t.Logf("controller %s, standby %s, failure domain cut off: %s", controller(t, s)[0], standby(t, s)[0], domain)
			began := time.Now()
			must(t, s.Fleet.Cut(domain, ""))
			time.Sleep(2 * recoveryLimit)
			healed := time.Now()
			must(t, s.Fleet.Heal("", ""))
			awaitSettled(t, s)
			checkRecovery(t, s, began, recoveryLimit, nil)
			if n := executionsIn(t, s, domain, began.Add(recoveryLimit), healed); n > 0 {
				t.Errorf("%d executions in the failure domain cut off after its leases had expired", n)
			}
		})
	}
}

// executionsIn counts the executions that targets of the failure domain started between two times.
func executionsIn(t *testing.T, s *Scenario, domain string, from, to time.Time) int {
	t.Helper()
	n := 0
	for _, vm := range s.Fleet.VMs {
		if vm.FailureDomain != domain {
			continue
		}
		entries, err := readLog(s.Fleet.ExecutionLog(vm.Name))
		must(t, err)
		for _, e := range entries {
			if e.Phase == execlog.Start && e.Wall > from.UnixNano() && e.Wall < to.UnixNano() {
				n++
			}
		}
	}
	return n
}

func domainOf(s *Scenario, vm string) string {
	for _, v := range s.Fleet.VMs {
		if v.Name == vm {
			return v.FailureDomain
		}
	}
	return ""
}
