// Package fleet runs many hollow nodes in one process: the same control loop,
// state machines and transport as a real node over loopback sockets, without
// request listeners. It measures how cost and convergence grow with the fleet.
package fleet

import (
	"fmt"
	"strconv"
	"time"

	"sliphead/internal/declaration"
	"sliphead/internal/settings"
	"sliphead/lab/machines"
)

// The shape of the fleet in the users' target.
const (
	zoneCount        = 5
	routesPerService = 3
	nodesPerHost     = 200 // last octet of the address
	peerPort         = 7000
	sourcePort       = 9000
	machinesPort     = 9001
)

// The one-way delays.
const (
	delayWithinRegion  = 500 * time.Microsecond
	delayBetweenRegion = 1500 * time.Microsecond
)

// All hollow nodes share one clock, and a fleet starts within startTime.
const (
	clockSkew = 10 * time.Millisecond
	startTime = 10 * time.Second
)

// zoneNames are the zones; the first three are one region, the others another.
var zoneNames = [zoneCount]string{"kakkanad-a", "edappally", "vyttila", "shah-alam", "petaling"}

// plan lays a fleet out.
type plan struct {
	nodes    int
	services int
	octet    int       // second octet of the first zone's addresses
	since    time.Time // when claim replicas may vote
}

// region returns the region of a zone.
func region(zone int) string {
	const firstRegionZones = 3
	if zone < firstRegionZones {
		return "kochi"
	}
	return "klang-valley"
}

// delay returns the one-way delay between two zones.
func (p *plan) delay(a, b int) time.Duration {
	switch {
	case a == b || a < 0 || b < 0:
		return 0
	case region(a) == region(b):
		return delayWithinRegion
	default:
		return delayBetweenRegion
	}
}

// zone returns the zone of a node.
func (p *plan) zone(node int) int { return node % zoneCount }

// name returns the name of a node.
func (p *plan) name(node int) string { return fmt.Sprintf("node-%03d", node) }

// service returns the service of the worker beside a node.
func (p *plan) service(node int) string {
	return fmt.Sprintf("service-%02d", node/zoneCount%p.services)
}

// address returns the peer address of a node.
func (p *plan) address(node int) string {
	host := node / zoneCount
	return fmt.Sprintf("127.%d.%d.%d:%d", p.octet+p.zone(node), host/nodesPerHost, host%nodesPerHost+1, peerPort)
}

// platform returns the address of a platform service.
func (p *plan) platform(port int) string { return fmt.Sprintf("127.%d.0.254:%d", p.octet, port) }

// settings returns the settings of a node.
func (p *plan) settings(node int, profile settings.Profile) *settings.Settings {
	configured := settings.Default()
	configured.Name = p.name(node)
	configured.Zone = zoneNames[p.zone(node)]
	configured.Region = region(p.zone(node))
	configured.Service = p.service(node)
	configured.Profile = profile
	configured.Worker = &settings.Worker{Name: "worker-" + strconv.Itoa(node), Address: p.address(node)}
	configured.Listen.Peer = p.address(node)
	configured.Advertise = settings.Advertise{Peer: p.address(node), Inbound: p.address(node)}
	configured.Source.Configuration = "http://" + p.platform(sourcePort)
	configured.Source.Machines = "http://" + p.platform(machinesPort)
	configured.Security.Plain = true
	configured.Claims.Since = p.since
	configured.Claims.ClockSkew.Duration = clockSkew
	configured.Membership.GossipInterval.Duration = profile.GossipInterval()
	return configured
}

// machines returns the platform's list.
func (p *plan) machines() []machines.Machine {
	listed := make([]machines.Machine, p.nodes)
	for node := range listed {
		listed[node] = machines.Machine{
			Name:    p.name(node),
			Zone:    zoneNames[p.zone(node)],
			Region:  region(p.zone(node)),
			Service: p.service(node),
			Peer:    p.address(node),
			State:   machines.StateLive,
		}
	}
	return listed
}

// document returns the declarations: a worker a node, routes and a selector a
// service. Each change moves the label of one worker.
func (p *plan) document(change int) *declaration.Document {
	document := &declaration.Document{Epoch: 1}
	for zone, name := range zoneNames {
		document.Zones = append(document.Zones, declaration.Zone{Name: name, Region: region(zone), TimeZone: "Asia/Kolkata"})
	}
	for service := range p.services {
		name := fmt.Sprintf("service-%02d", service)
		document.Services = append(document.Services, declaration.Service{Name: name})
		document.Selectors = append(document.Selectors, declaration.Selector{Name: name, Service: name, WorkerLabels: declaration.Labels{"shift": "day"}})
		for route := range routesPerService {
			document.Routes = append(document.Routes, declaration.Route{
				Name:       fmt.Sprintf("%s-%d", name, route),
				PathPrefix: fmt.Sprintf("/%s/%d", name, route),
				Service:    name,
				Selectors:  []string{name},
				Priority:   declaration.PriorityInteractive,
				Repeatable: true,
				DeadlineMS: 1000,
			})
		}
	}
	for node := range p.nodes {
		document.Workers = append(document.Workers, declaration.Worker{
			Name:        "worker-" + strconv.Itoa(node),
			Service:     p.service(node),
			Zone:        zoneNames[p.zone(node)],
			Slots:       6,
			Connections: 130,
			Labels:      declaration.Labels{"shift": "day"},
		})
	}
	document.Workers[change%p.nodes].Labels = declaration.Labels{"shift": "night", "change": strconv.Itoa(change)}
	return document
}
