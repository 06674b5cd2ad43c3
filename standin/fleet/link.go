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

// Ports of the link relay: the admin interface, the first of the ports that forward to the nodes'
// peer listeners, and the first of those that forward to the store.
const (
	linkAdminPort = "7010"
	linkPeerPort  = 7100
	linkStorePort = 7050
)

// ErrLinkRejected reports a cut or heal request that the link relay rejected.
var ErrLinkRejected = errors.New("request rejected by the link relay")

// Network describes the delays and rates between places (see link.Place).
type Network struct {
	// StorePlace is the place of the store.
	StorePlace link.Place
	// DomainDelay and RegionDelay are the one-way latencies between failure domains of a region and
	// between regions.
	DomainDelay time.Duration
	RegionDelay time.Duration
	// RegionMbits is the rate between two regions in each direction, in Mbit/s.
	RegionMbits float64
	// PerVM makes each VM its own place, whose failure domain has the VM's name, so that connections
	// between single VMs can be cut. StorePlace should then have the failure domain StorePlaceName.
	PerVM bool
}

// StorePlaceName is the failure domain of the store in a network with PerVM.
const StorePlaceName = "store"

// startLink starts the link relay if the plan has a Network, and waits until it answers.
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
		"--listen", f.ipPrefix+"1:"+linkAdminPort, "--plan", path)
	if err != nil {
		return err
	}
	f.Link = p
	return Await(5*time.Second, func() bool { return respondsOK(f.LinkURL() + "/admin/stats") })
}

// linkPlan returns the routes to each node's peer listener and, from each place, to the store.
func (f *Fleet) linkPlan() link.Plan {
	plan := link.Plan{
		Places:        make(map[string]link.Place),
		DomainDelayMS: milliseconds(f.Network.DomainDelay),
		RegionDelayMS: milliseconds(f.Network.RegionDelay),
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
			Listen:  f.ipPrefix + "1:" + strconv.Itoa(linkStorePort+i),
			To:      f.ipPrefix + "1:" + storePort,
			ToPlace: f.Network.StorePlace,
			From:    place,
		})
	}
	return plan
}

// place returns the place of a VM in the network.
func (f *Fleet) place(vm VM) link.Place {
	if f.Network.PerVM {
		return link.Place{Region: vm.Region, FailureDomain: vm.Name}
	}
	return link.Place{Region: vm.Region, FailureDomain: vm.FailureDomain}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// places returns the distinct places of the VMs, in the order of the plan. Each has its own route to the
// store: nodes do not call the store from the IP address of their VM, so the relay cannot tell a
// caller's place from its address.
func (f *Fleet) places() []link.Place {
	var places []link.Place
	for _, vm := range f.VMs {
		if place := f.place(vm); !slices.Contains(places, place) {
			places = append(places, place)
		}
	}
	return places
}

// peerAddress returns the address at which other nodes reach the VM's node: the relay's if there is one.
func (f *Fleet) peerAddress(name string) string {
	if f.Network == nil {
		return f.ips[name] + ":" + peerPort
	}
	i := slices.IndexFunc(f.VMs, func(vm VM) bool { return vm.Name == name })
	return f.ipPrefix + "1:" + strconv.Itoa(linkPeerPort+i)
}

// storeURLFrom returns the URL at which the VM's node reaches the store: the relay's if there is one.
func (f *Fleet) storeURLFrom(vm VM) string {
	if f.Network == nil {
		return f.StoreURL()
	}
	port := linkStorePort + slices.Index(f.places(), f.place(vm))
	return "http://" + f.ipPrefix + "1:" + strconv.Itoa(port)
}

// LinkURL returns the URL of the link relay's admin interface.
func (f *Fleet) LinkURL() string { return "http://" + f.ipPrefix + "1:" + linkAdminPort }

// Cut stops all traffic between two regions or failure domains, or between a and all others if b is
// empty, until Heal. It affects only connections through the link relay: those between nodes and
// from nodes to the store. It returns ErrLinkRejected if the relay rejects the request.
func (f *Fleet) Cut(a, b string) error {
	return f.postToLink("/admin/cut", link.CutMessage{A: a, B: b})
}

// Heal ends a cut, or all cuts if both names are empty. Its errors are those of Cut.
func (f *Fleet) Heal(a, b string) error {
	return f.postToLink("/admin/heal", link.CutMessage{A: a, B: b})
}

func (f *Fleet) postToLink(path string, message link.CutMessage) error {
	body, err := json.Marshal(message)
	if err != nil {
		return errors.Wrap(err, "encode request to the link relay")
	}
	client := http.Client{Timeout: adminTimeout}
	response, err := client.Post(f.LinkURL()+path, "application/json", bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "call the link relay")
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusNoContent {
		return errors.Wrapf(ErrLinkRejected, "status %d", response.StatusCode)
	}
	return nil
}

// commonProcesses returns the store and, if there is one, the link relay: the processes that belong to no VM.
func (f *Fleet) commonProcesses() map[string]*Process {
	services := map[string]*Process{"store": f.Store}
	if f.Link != nil {
		services["link"] = f.Link
	}
	return services
}
