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

// updateHosts passes the machines of the catalog to the quarantine, as its peers, and with the
// tenants to the quotas, as the possible owners of tenants' limits.
func (n *CatalogNode) updateHosts(state *catalog.State) {
	hosts := n.workerHosts(state)
	addresses := make([]string, 0, len(hosts))
	for _, host := range hosts {
		addresses = append(addresses, host.Address)
	}
	n.quarantine.Peers(addresses)
	if configuration := state.Configuration(); n.quota != nil && configuration != nil {
		n.quota.Configure(quota.Configured{Tenants: configuration.Tenants, Hosts: hosts})
	}
}

// workerHosts returns the machines that have a worker on record. Each of them runs a node.
func (n *CatalogNode) workerHosts(state *catalog.State) []quota.Host {
	instances := state.Instances()
	hosts := make([]quota.Host, 0, len(instances))
	for _, instance := range instances {
		if host, _, err := net.SplitHostPort(instance.Address); err == nil {
			hosts = append(hosts, quota.Host{Address: host, Zone: instance.Zone, Region: n.settings.Regions[instance.Zone]})
		}
	}
	return hosts
}
