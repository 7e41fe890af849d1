package mesh

import (
	"context"
	"net/netip"
	"testing"

	"github.com/shoenig/test/must"

	"sliphead/internal/version"
)

func readPlan(t *testing.T) *Plan {
	t.Helper()
	plan, err := ReadPlan("../../experiments/chandrika.yaml")
	must.NoError(t, err)
	return plan
}

func TestPlanOfChandrikaHasItsNumberOfZonesAndWorkers(t *testing.T) {
	plan := readPlan(t)
	document := plan.Document()
	must.SliceLen(t, 4, document.Zones)
	must.SliceLen(t, 12, document.Workers)
	must.SliceLen(t, 6, plan.Scaled(Scale{WorkersPerService: 3}).Document().Workers)
}

func TestLayoutAssignsEachNodeAUniqueAddressInItsZone(t *testing.T) {
	plan := readPlan(t)
	addresses := layout{octet: 10, zones: zoneNames(plan)}
	nodes := plan.nodes(addresses, 0)
	must.SliceLen(t, 16, nodes)
	seen := map[string]bool{}
	for _, node := range nodes {
		must.False(t, seen[node.Peer], must.Sprint(node.Peer))
		seen[node.Peer] = true
		must.Eq(t, node.Zone, addresses.zoneOf(netip.MustParseAddrPort(node.Peer).Addr()))
		if node.Worker != nil {
			must.Eq(t, node.Zone, node.Worker.Zone)
			must.Eq(t, "", node.Public)
			continue
		}
		must.Eq(t, "", node.AdvertisedInbound)
	}
	must.Eq(t, clientsZone, addresses.zoneOf(addresses.clientAddress()))
}

func TestRecordReportsNodesThatReturnToAnOlderVersion(t *testing.T) {
	record := newRecord()
	incarnation := record.recordStart("a")
	record.addLine("a", incarnation, "event=version.activated version=1.2-aa at_unix_ms=5")
	record.addLine("a", incarnation, "event=version.activated version=1.3-bb at_unix_ms=6")
	must.SliceEmpty(t, record.OrderViolations())
	record.addLine("a", incarnation, "event=version.activated version=1.2-aa at_unix_ms=7")
	must.SliceLen(t, 1, record.OrderViolations())

	incarnation = record.recordStart("a")
	record.addLine("a", incarnation, "event=version.activated version=1.2-aa at_unix_ms=8")
	record.addLine("a", incarnation, "event=node.ready")
	must.SliceLen(t, 2, record.OrderViolations())
	record.addLine("a", incarnation, "event=version.activated version=1.3-bb at_unix_ms=9")
	must.SliceEmpty(t, record.WaitInForce(context.Background(), []string{"a"}, 1, 3))
	must.Eq(t, []string{"b"}, record.Behind([]string{"a", "b"}, 1, 3))
	activation, found := record.FirstInForce("a", 1, 3)
	must.True(t, found)
	must.Eq(t, version.Version{Epoch: 1, Revision: 3, Digest: "bb"}, activation.Version)
}

func TestReserveOctetReturnsEachOctetOnce(t *testing.T) {
	first, held, err := reserveOctet(0)
	must.NoError(t, err)
	defer held.Close()
	second, other, err := reserveOctet(0)
	must.NoError(t, err)
	defer other.Close()
	must.NotEq(t, first, second)
	_, _, err = reserveOctet(first)
	must.ErrorContains(t, err, "no free loopback octet")
}
