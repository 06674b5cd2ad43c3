package measure

import (
	"fmt"
	"time"

	"github.com/auburnrelay/auburnrelay/standin/fleet"
	"github.com/auburnrelay/auburnrelay/standin/link"
)

const (
	// keyedService and sharedService are the names of the keyed and the shared service.
	keyedService  = "booking"
	sharedService = "records"

	// longKind is the kind of work whose service time is many times that of all other work.
	longKind = "manual"

	domainDelay    = time.Millisecond
	regionDelay    = 8 * time.Millisecond
	regionMbits    = 30
	slicesPerRange = 256
)

// Profile describes one of the users' deployments.
type Profile struct {
	Name string
	// Near is the region with the store, and Far the other one; each has two failure domains.
	Near, Far region
	// Slots is the number of slots of each target.
	Slots int
	// ShortTime and LongTime are the mean service times.
	ShortTime time.Duration
	LongTime  time.Duration
	// CallerDelay is the one-way latency between callers and nodes.
	CallerDelay time.Duration
	// Deadline is the deadline of short work.
	Deadline time.Duration
}

type region struct {
	name    string
	domains [2]string
}

// Profiles returns the profiles of the two deployments.
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

// Names of the VMs: the desks have a target of the keyed service, the hubs one of the shared
// service. The figures and the sheet use these names.
var (
	nearKeyedVMs  = []string{"desk-1", "desk-2", "desk-3"}
	farKeyedVMs   = []string{"desk-4", "desk-5"}
	nearSharedVMs = []string{"hub-1", "hub-2"}
	farSharedVMs  = []string{"hub-3", "hub-4"}
)

// keyPrefixes are the prefixes of keys: "a-" keys belong to the near region and "d-" keys to
// the far one. Their shares of 3 to 2 load the three near and the two far desks alike.
var keyPrefixes = []string{"a-", "a-", "a-", "d-", "d-"}

func (p Profile) sheet() string {
	row := "%s,%s,%s,%s,%s,,%s,%d\n"
	return "service,kind,from,to,region,cell,targets,slices\n" +
		fmt.Sprintf(row, keyedService, "keyed", "", "d", p.Near.name, "desk-*", slicesPerRange) +
		fmt.Sprintf(row, keyedService, "keyed", "d", "", p.Far.name, "desk-*", slicesPerRange) +
		fmt.Sprintf(row, sharedService, "shared", "", "d", p.Near.name, "hub-*", 1) +
		fmt.Sprintf(row, sharedService, "shared", "d", "", p.Far.name, "hub-*", 1)
}

func (p Profile) vms() []fleet.VM {
	var vms []fleet.VM
	add := func(r region, names []string) {
		for i, name := range names {
			vms = append(vms, p.vm(name, r.name, r.domains[i%2]))
		}
	}
	add(p.Near, nearKeyedVMs)
	add(p.Far, farKeyedVMs)
	add(p.Near, nearSharedVMs)
	add(p.Far, farSharedVMs)
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

// keyedCapacity is the number of short requests per second that the desks can serve.
func (p Profile) keyedCapacity() float64 {
	return float64((len(nearKeyedVMs)+len(farKeyedVMs))*p.Slots) / p.ShortTime.Seconds()
}

// sharedCapacity is the number of short requests per second that the hubs can serve. The
// near hubs are the bottleneck, since the prefixes send them three fifths of the requests.
func (p Profile) sharedCapacity() float64 {
	const nearShare = 3.0 / 5
	return float64(len(nearSharedVMs)*p.Slots) / p.ShortTime.Seconds() / nearShare
}
