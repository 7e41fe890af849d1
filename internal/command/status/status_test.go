package status

import (
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"sliphead/internal/admin"
	"sliphead/internal/distribution"
	"sliphead/internal/fault"
	"sliphead/internal/node"
	"sliphead/internal/version"
	"sliphead/internal/wire"
)

// The status of a source reader must show a failing source, a refused version and
// members that are behind or leaving.
func TestStatusShowsFailures(t *testing.T) {
	status := node.Status{Reason: "no version is in force yet"}
	status.Name, status.Zone = "edge-1", "subang"
	status.Version = version.Version{Epoch: 1, Revision: 7, Digest: "ae9d7d65cc759c2f"}
	status.PeerVersions = map[string]version.Version{"b": {Epoch: 1, Revision: 6}, "a": {Epoch: 1, Revision: 5}}
	status.Members = []wire.Member{{Name: "a", Status: wire.StatusLeaving}, {Name: "b", Status: wire.StatusAlive}}
	status.Distribution = distribution.Status{
		Reader:     true,
		Refused:    []distribution.Refusal{{Version: version.Version{Epoch: 1, Revision: 8}, Reason: "two routes match"}},
		SourceFail: fault.New(fault.Source, "mend it", "the service is down").Error(),
	}
	server := httptest.NewServer(admin.Handler(admin.Config{Status: func() any { return status }}))
	defer server.Close()
	var output strings.Builder
	must.NoError(t, (&Command{Node: server.Listener.Addr().String()}).Run(&output))
	must.Eq(t, `node       edge-1 in zone subang
ready      false no version is in force yet
version    1.7-ae9d7d65 in force, 0.0- staged
source     failed: the service is down (remedy: mend it)
fleet      2 members, versions 1.5- to 1.7-ae9d7d65 as last reported
behind     a at 1.5-
behind     b at 1.6-
readers    []
tree       parent "", children []
refused    1.8-: two routes match
member     a is leaving, worker none
`, output.String())
}
