package mesh

import (
	"fmt"
	"net/netip"
	"strconv"

	"sliphead/internal/declaration"
)

// The ports of nodes, workers and the platform's stand-ins, the same on every address.
const (
	portPeer     = 7000
	portInbound  = 7001
	portOutbound = 7002
	portAdmin    = 7003
	portWorker   = 8000
	portSource   = 9000
	portMachines = 9001
)

const (
	advertisedOffset = 100 // added to the second octet of a real address to get the advertised one
	clientsOctet     = 200 // third octet of the callers' addresses
	clientsZone      = "clients"
	platformZone     = "platform"
	platformHost     = 254 // last octet of the platform's stand-ins, whose third octet is 0
)

// layout assigns loopback addresses of the form 127.octet.zone.node.
type layout struct {
	octet        int
	zones        []string // the third octet is the index, from 1
	withoutLinks bool     // nodes advertise their real addresses
}

// advertisedShift returns the number to add to the second octet of an advertised
// address, 0 without links.
func (l layout) advertisedShift() int {
	if l.withoutLinks {
		return 0
	}
	return advertisedOffset
}

func (l layout) address(offset, zone, host, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", l.octet+offset, zone, host, port)
}

// platform returns the real address of a stand-in of the platform.
func (l layout) platform(port int) string { return l.address(0, 0, platformHost, port) }

// advertisedPlatform returns the address at which nodes reach a stand-in of the
// platform through a link.
func (l layout) advertisedPlatform(port int) string {
	return l.address(l.advertisedShift(), 0, platformHost, port)
}

// clientAddress returns the source address of callers.
func (l layout) clientAddress() netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(l.octet), clientsOctet, 1})
}

// zoneOf returns the zone of a sender's address, "" if it has none.
func (l layout) zoneOf(address netip.Addr) string {
	octets := address.Unmap().As4()
	if octets[2] == clientsOctet {
		return clientsZone
	}
	index := int(octets[2]) - 1
	if index < 0 || index >= len(l.zones) {
		return ""
	}
	return l.zones[index]
}

// PlannedNode is a node with its addresses and, unless it is an edge node, its
// worker.
type PlannedNode struct {
	Name              string
	Zone              string
	Region            string
	Service           string
	Worker            *PlannedWorker // nil at an edge
	Peer              string         // real addresses
	Inbound           string
	Outbound          string
	Admin             string
	AdvertisedPeer    string // advertised addresses, at which a link listens
	AdvertisedInbound string
	Public            string // address at which callers reach an edge node through a link, "" for other nodes
}

// PlannedWorker is a declared worker with its address and the settings of its service.
type PlannedWorker struct {
	declaration.Worker
	Address string
	Service Service
}

// workers returns the declared workers, assigned to the zones in round robin.
func (p *Plan) workers() []PlannedWorker {
	var workers []PlannedWorker
	next := 0
	for _, service := range p.Services {
		for index := range service.Workers {
			worker := declaration.Worker{
				Name:        service.Name + "-" + strconv.Itoa(index+1),
				Service:     service.Name,
				Zone:        p.Zones[next%len(p.Zones)].Name,
				Slots:       service.Slots,
				Connections: service.Connections,
			}
			if len(service.Labels) > 0 {
				worker.Labels = service.Labels[index%len(service.Labels)]
			}
			workers = append(workers, PlannedWorker{Worker: worker, Service: service})
			next++
		}
	}
	return workers
}

// nodes assigns addresses to all nodes of the plan and returns them, edge nodes first.
func (p *Plan) nodes(addresses layout, edges int) []*PlannedNode {
	used := map[string]int{} // nodes by zone
	var nodes []*PlannedNode
	place := func(name, zone string) *PlannedNode {
		used[zone]++
		node := p.placeNode(addresses, name, zone, used[zone])
		nodes = append(nodes, node)
		return node
	}
	for index := range p.edgeCount(edges) {
		zone := p.Zones[index%len(p.Zones)].Name
		edge := place(fmt.Sprintf("%s-edge-%d", zone, index/len(p.Zones)+1), zone)
		edge.Inbound, edge.AdvertisedInbound = "", ""
	}
	for _, worker := range p.workers() {
		node := place(worker.Zone+"-"+worker.Name, worker.Zone)
		worker.Address = hostOf(node.Peer) + ":" + strconv.Itoa(portWorker)
		node.Worker = &worker
		node.Service = worker.Worker.Service
		node.Public = ""
	}
	return nodes
}

func (p *Plan) edgeCount(limit int) int {
	edges := p.EdgesPerZone * len(p.Zones)
	if limit > 0 {
		return min(edges, limit)
	}
	return edges
}

func (p *Plan) placeNode(addresses layout, name, zone string, host int) *PlannedNode {
	index := 0
	for addresses.zones[index] != zone {
		index++
	}
	at := func(offset, port int) string { return addresses.address(offset, index+1, host, port) }
	return &PlannedNode{
		Name:              name,
		Zone:              zone,
		Region:            p.regionOf(index),
		Peer:              at(0, portPeer),
		Inbound:           at(0, portInbound),
		Outbound:          at(0, portOutbound),
		Admin:             at(0, portAdmin),
		AdvertisedPeer:    at(addresses.advertisedShift(), portPeer),
		AdvertisedInbound: at(addresses.advertisedShift(), portInbound),
		Public:            at(addresses.advertisedShift(), portOutbound),
	}
}

func (p *Plan) regionOf(zoneIndex int) string {
	if region := p.Zones[zoneIndex].Region; region != "" {
		return region
	}
	return p.Region
}

func hostOf(address string) string {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return ""
	}
	return parsed.Addr().String()
}
