package fleet

import (
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/auburnrelay/auburnrelay/standin/link"
)

// Ports of the relay: its admin interface, the first of the ports that lead to nodes and the
// first of those that lead to the store.
const (
	linkAdminPort = "7010"
	linkPeerPort  = 7100
	linkStorePort = 7050
)

// Network says how far places are apart.
type Network struct {
	// StorePlace is where the store stands.
	StorePlace link.Place
	// DomainDelay and RegionDelay are one-way latencies.
	DomainDelay time.Duration
	RegionDelay time.Duration
	// RegionMbits is the rate between two regions each way, in Mbit/s.
	RegionMbits float64
}

// startLink starts the relay between the places of the plan, if it has any.
func (f *Fleet) startLink() error {
	if f.Network == nil {
		return nil
	}
	text, err := json.Marshal(f.linkPlan())
	if err != nil {
		return errors.Wrap(err, "encode link plan")
	}
	path := filepath.Join(f.Dir, "link.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return errors.Wrap(err, "write link plan")
	}
	p, err := start(f.Dir, "link", filepath.Join(f.Bin, "standin-link"),
		"--listen", f.network+"1:"+linkAdminPort, "--plan", path)
	if err != nil {
		return err
	}
	f.Link = p
	return Await(5*time.Second, func() bool { return answers(f.LinkURL() + "/admin/stats") })
}

func (f *Fleet) linkPlan() link.Plan {
	plan := link.Plan{
		Places:        make(map[string]link.Place),
		DomainDelayMS: millis(f.Network.DomainDelay),
		RegionDelayMS: millis(f.Network.RegionDelay),
		RegionMbits:   f.Network.RegionMbits,
	}
	for _, vm := range f.VMs {
		place := link.Place{Region: vm.Region, FailureDomain: vm.FailureDomain}
		plan.Places[f.ips[vm.Name]] = place
		plan.Routes = append(plan.Routes, link.Route{
			Listen: f.peerAddress(vm.Name), To: f.ips[vm.Name] + ":" + peerPort, ToPlace: place,
		})
	}
	for i, region := range f.regions() {
		plan.Routes = append(plan.Routes, link.Route{
			Listen:  f.network + "1:" + strconv.Itoa(linkStorePort+i),
			To:      f.network + "1:" + storePort,
			ToPlace: f.Network.StorePlace,
			From:    link.Place{Region: region, FailureDomain: region},
		})
	}
	return plan
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// regions returns the regions of the VMs in their order.
func (f *Fleet) regions() []string {
	var regions []string
	for _, vm := range f.VMs {
		if !slices.Contains(regions, vm.Region) {
			regions = append(regions, vm.Region)
		}
	}
	return regions
}

// peerAddress returns the address under which other nodes reach the VM's node.
func (f *Fleet) peerAddress(name string) string {
	if f.Network == nil {
		return f.ips[name] + ":" + peerPort
	}
	i := slices.IndexFunc(f.VMs, func(vm VM) bool { return vm.Name == name })
	return f.network + "1:" + strconv.Itoa(linkPeerPort+i)
}

// storeURLFrom returns the URL of the store for the nodes of a region.
func (f *Fleet) storeURLFrom(region string) string {
	if f.Network == nil {
		return f.StoreURL()
	}
	return "http://" + f.network + "1:" + strconv.Itoa(linkStorePort+slices.Index(f.regions(), region))
}

// LinkURL returns the URL of the relay's admin interface.
func (f *Fleet) LinkURL() string { return "http://" + f.network + "1:" + linkAdminPort }

// services returns the processes that belong to no VM.
func (f *Fleet) services() map[string]*Process {
	services := map[string]*Process{"store": f.Store}
	if f.Link != nil {
		services["link"] = f.Link
	}
	return services
}
