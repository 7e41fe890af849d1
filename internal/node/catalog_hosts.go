package node

import (
	"net"
	"net/netip"

	"sliphead/internal/catalog"
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

// hostsOf returns the IP addresses of the machines that have a worker on record, each of
// which has a node.
func hostsOf(state *catalog.State) []string {
	instances := state.Instances()
	hosts := make([]string, 0, len(instances))
	for _, instance := range instances {
		if host, _, err := net.SplitHostPort(instance.Address); err == nil {
			hosts = append(hosts, host)
		}
	}
	return hosts
}
