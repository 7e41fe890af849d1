package replicator

import (
	"context"
	"encoding/json"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"sliphead/internal/replication"
)

// Any connection reports its sender as a seen peer, whether the sender follows this node or only
// announces itself. A node that had started while the store was unreachable stayed isolated
// because the only other node had already begun to follow it.
func TestConnectionReportsPeer(t *testing.T) {
	for name, greeting := range map[string]hello{
		"an announcement": {From: "10.0.0.7", Announce: true},
		"a follower":      {From: "10.0.0.7"},
	} {
		t.Run(name, func(t *testing.T) {
			r := New(Config{Address: "10.0.0.1", Freshness: time.Second})
			local, remote := net.Pipe()
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go r.serveFollower(ctx, remote)
			must.NoError(t, json.NewEncoder(local).Encode(greeting))
			must.Eq[any](t, replication.PeerSeen{Address: "10.0.0.7"}, <-r.inputs)
			must.NoError(t, local.Close())
		})
	}
}
