package measure

import (
	"fmt"
	"time"

	"github.com/auburnrelay/auburnrelay/standin/fleet"
	"github.com/auburnrelay/auburnrelay/standin/link"
)

const (
	keyed  = "booking"
	shared = "records"

	// longKind is the kind of work that runs many times longer than the rest.
	longKind = "manual"

	domainDelay = time.Millisecond
	regionDelay = 8 * time.Millisecond
	regionMbits = 30
	sliceCount  = 256
)

// Profile is one deployment of the users.
type Profile struct {
	Name string
	// Near and Far are its regions, the store's first, with two failure domains each.
	Near, Far region
	// Slots is the number of slots of each target.
	Slots int
	// ShortTime and LongTime are the mean service times.
	ShortTime time.Duration
	LongTime  time.Duration
	// CallerDelay is the one-way latency between callers and nodes.
	CallerDelay time.Duration
	// Deadline is the time that callers of short work wait.
	Deadline time.Duration
}

type region struct {
	name    string
	domains [2]string
}

// Profiles returns the two deployments.
func Profiles() []Profile {
	return []Profile{
		{
			Name:        "horsebox",
			Near:        region{"alfold", [2]string{"debrecen", "szeged"}},
			Far:         region{"dunantul", [2]string{"gyor", "pecs"}},
			Slots:       6,
			ShortTime:   20 * time.Millisecond,
			LongTime:    400 * time.Millisecond,
			CallerDelay: 3 * time.Millisecond,
			Deadline:    300 * time.Millisecond,
		},
		{
			Name:        "lending",
			Near:        region{"lombardia", [2]string{"bs-nord", "bg-ovest"}},
			Far:         region{"veneto", [2]string{"vr-est", "pd-sud"}},
			Slots:       12,
			ShortTime:   40 * time.Millisecond,
			LongTime:    800 * time.Millisecond,
			CallerDelay: 8 * time.Millisecond,
			Deadline:    300 * time.Millisecond,
		},
	}
}

// Names of the VMs: five with a target of the keyed service, four of the shared one.
var (
	nearDesks = []string{"desk-1", "desk-2", "desk-3"}
	farDesks  = []string{"desk-4", "desk-5"}
	nearHubs  = []string{"hub-1", "hub-2"}
	farHubs   = []string{"hub-3", "hub-4"}
)

// prefixes gives each of the five desks an even share of the keys: "a-" keys are served in
// the near region and "d-" keys in the far one.
var prefixes = []string{"a-", "a-", "a-", "d-", "d-"}

func (p Profile) sheet() string {
	row := "%s,%s,%s,%s,%s,,%s,%d\n"
	return "service,kind,from,to,region,cell,targets,slices\n" +
		fmt.Sprintf(row, keyed, "keyed", "", "d", p.Near.name, "desk-*", sliceCount) +
		fmt.Sprintf(row, keyed, "keyed", "d", "", p.Far.name, "desk-*", sliceCount) +
		fmt.Sprintf(row, shared, "shared", "", "d", p.Near.name, "hub-*", 1) +
		fmt.Sprintf(row, shared, "shared", "d", "", p.Far.name, "hub-*", 1)
}

func (p Profile) vms() []fleet.VM {
	var vms []fleet.VM
	add := func(r region, names []string) {
		for i, name := range names {
			vms = append(vms, p.vm(name, r.name, r.domains[i%2]))
		}
	}
	add(p.Near, nearDesks)
	add(p.Far, farDesks)
	add(p.Near, nearHubs)
	add(p.Far, farHubs)
	return vms
}

func (p Profile) vm(name, region, domain string) fleet.VM {
	return fleet.VM{
		Name:          name,
		Region:        region,
		FailureDomain: domain,
		Slots:         p.Slots,
		TargetArgs: []string{
			"--work", "default=" + p.ShortTime.String(),
			"--work", longKind + "=" + p.LongTime.String(),
			"--queue", "1000",
		},
	}
}

func (p Profile) network() *fleet.Network {
	return &fleet.Network{
		StorePlace:  link.Place{Region: p.Near.name, FailureDomain: p.Near.domains[0]},
		DomainDelay: domainDelay,
		RegionDelay: regionDelay,
		RegionMbits: regionMbits,
	}
}

// keyedCapacity is the number of short requests per second that the desks can do.
func (p Profile) keyedCapacity() float64 {
	return float64((len(nearDesks)+len(farDesks))*p.Slots) / p.ShortTime.Seconds()
}

// sharedCapacity is the number of short requests per second that the hubs can do when
// requests come in the shares of the prefixes, which load the near hubs more.
func (p Profile) sharedCapacity() float64 {
	const nearShare = 3.0 / 5
	return float64(len(nearHubs)*p.Slots) / p.ShortTime.Seconds() / nearShare
}
