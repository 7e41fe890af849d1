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

// A node whose source fails is the one that operators ask.
func TestStatusShowsWhatIsWrong(t *testing.T) {
	told := node.Status{Reason: "no version is in force yet"}
	told.Name, told.Zone = "edge-1", "subang"
	told.Version = version.Version{Epoch: 1, Revision: 7, Digest: "ae9d7d65cc759c2f"}
	told.PeerVersions = map[string]version.Version{"b": {Epoch: 1, Revision: 6}, "a": {Epoch: 1, Revision: 5}}
	told.Members = []wire.Member{{Name: "a", Status: wire.StatusLeaving}, {Name: "b", Status: wire.StatusAlive}}
	told.Distribution = distribution.Status{
		Reader:     true,
		Refused:    []distribution.Refusal{{Version: version.Version{Epoch: 1, Revision: 8}, Reason: "two routes match"}},
		SourceFail: fault.New(fault.Source, "mend it", "the service is down").Error(),
	}
	server := httptest.NewServer(admin.Handler(admin.Config{Status: func() any { return told }}))
	defer server.Close()
	var output strings.Builder
	must.NoError(t, (&Command{Node: server.Listener.Addr().String()}).Run(&output))
	must.Eq(t, `node       edge-1 in zone subang
ready      false no version is in force yet
version    1.7-ae9d7d65 in force, 0.0- staged
source     failed: the service is down (remedy: mend it)
fleet      2 members, versions 1.5- to 1.7-ae9d7d65 as last heard
behind     a at 1.5-
behind     b at 1.6-
readers    []
tree       parent "", children []
refused    1.8-: two routes match
member     a is leaving, worker none
`, output.String())
}
