package node

import (
	"net"
	"net/netip"

	"sliphead/internal/catalog"
	"sliphead/internal/quota"
	"sliphead/internal/settings"
)

// advertisedHost is the IP address by which other nodes reach this one.
func advertisedHost(configured *settings.Settings, listen string) string {
	advertised, err := netip.ParseAddrPort(configured.Advertise.Peer)
	if err != nil {
		return listen
	}
	return advertised.Addr().String()
}

// tellHosts tells the quarantine of the nodes that it may ask, and the quotas of those that
// hold the limits of tenants.
func (n *CatalogNode) tellHosts(state *catalog.State) {
	hosts := n.hostsOf(state)
	addresses := make([]string, 0, len(hosts))
	for _, host := range hosts {
		addresses = append(addresses, host.Address)
	}
	n.quarantine.Peers(addresses)
	if configuration := state.Configuration(); n.quota != nil && configuration != nil {
		n.quota.Configure(quota.Configured{Tenants: configuration.Tenants, Hosts: hosts})
	}
}

// hostsOf returns the machines that have a worker on record, each of which has a node.
func (n *CatalogNode) hostsOf(state *catalog.State) []quota.Host {
	instances := state.Instances()
	hosts := make([]quota.Host, 0, len(instances))
	for _, instance := range instances {
		if host, _, err := net.SplitHostPort(instance.Address); err == nil {
			hosts = append(hosts, quota.Host{Address: host, Zone: instance.Zone, Region: n.settings.Regions[instance.Zone]})
		}
	}
	return hosts
}
