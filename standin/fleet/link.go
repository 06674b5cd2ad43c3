package fleet

import (
	"bytes"
	"encoding/json"
	"net/http"
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

// ErrLink reports an order that the relay did not take.
var ErrLink = errors.New("order refused by the link")

// Network says how far places are apart.
type Network struct {
	// StorePlace is where the store stands.
	StorePlace link.Place
	// DomainDelay and RegionDelay are one-way latencies.
	DomainDelay time.Duration
	RegionDelay time.Duration
	// RegionMbits is the rate between two regions each way, in Mbit/s.
	RegionMbits float64
	// PerVM makes each VM a place of its own, named like the VM, and the store one named
	// StorePlaceName, so that the ways between single VMs can be cut.
	PerVM bool
}

// StorePlaceName is the place of the store in a network whose VMs are places of their own.
const StorePlaceName = "store"

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
		place := f.place(vm)
		plan.Places[f.ips[vm.Name]] = place
		plan.Routes = append(plan.Routes, link.Route{
			Listen: f.peerAddress(vm.Name), To: f.ips[vm.Name] + ":" + peerPort, ToPlace: place,
		})
	}
	for i, place := range f.places() {
		plan.Routes = append(plan.Routes, link.Route{
			Listen:  f.network + "1:" + strconv.Itoa(linkStorePort+i),
			To:      f.network + "1:" + storePort,
			ToPlace: f.Network.StorePlace,
			From:    place,
		})
	}
	return plan
}

// place returns where a VM stands in the network.
func (f *Fleet) place(vm VM) link.Place {
	if f.Network.PerVM {
		return link.Place{Region: vm.Region, FailureDomain: vm.Name}
	}
	return link.Place{Region: vm.Region, FailureDomain: vm.FailureDomain}
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// places returns the places of the VMs in their order. Each has a way to the store of its
// own, since nodes do not call the store from the IP number of their VM.
func (f *Fleet) places() []link.Place {
	var places []link.Place
	for _, vm := range f.VMs {
		if place := f.place(vm); !slices.Contains(places, place) {
			places = append(places, place)
		}
	}
	return places
}

// peerAddress returns the address under which other nodes reach the VM's node.
func (f *Fleet) peerAddress(name string) string {
	if f.Network == nil {
		return f.ips[name] + ":" + peerPort
	}
	i := slices.IndexFunc(f.VMs, func(vm VM) bool { return vm.Name == name })
	return f.network + "1:" + strconv.Itoa(linkPeerPort+i)
}

// storeURLFrom returns the URL of the store for the VM's node.
func (f *Fleet) storeURLFrom(vm VM) string {
	if f.Network == nil {
		return f.StoreURL()
	}
	port := linkStorePort + slices.Index(f.places(), f.place(vm))
	return "http://" + f.network + "1:" + strconv.Itoa(port)
}

// LinkURL returns the URL of the relay's admin interface.
func (f *Fleet) LinkURL() string { return "http://" + f.network + "1:" + linkAdminPort }

// Cut stops all bytes between two regions or failure domains, or between a and all others if
// b is empty, until Heal. Only what goes through the relay is cut: the ways between nodes
// and from nodes to the store.
func (f *Fleet) Cut(a, b string) error { return f.orderLink("/admin/cut", link.CutMessage{A: a, B: b}) }

// Heal ends a cut; two empty names end all.
func (f *Fleet) Heal(a, b string) error {
	return f.orderLink("/admin/heal", link.CutMessage{A: a, B: b})
}

func (f *Fleet) orderLink(path string, message link.CutMessage) error {
	body, err := json.Marshal(message)
	if err != nil {
		return errors.Wrap(err, "encode cut")
	}
	client := http.Client{Timeout: probeTimeout}
	response, err := client.Post(f.LinkURL()+path, "application/json", bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "order the link")
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusNoContent {
		return errors.Wrapf(ErrLink, "status %d", response.StatusCode)
	}
	return nil
}

// services returns the processes that belong to no VM.
func (f *Fleet) services() map[string]*Process {
	services := map[string]*Process{"store": f.Store}
	if f.Link != nil {
		services["link"] = f.Link
	}
	return services
}
