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

// Whoever opens a connection has spoken to this node, to follow it as well as to
// announce itself: a node that started while the store was away stayed alone when the only
// other one had begun to follow it.
func TestGreetingTellsOfThePeer(t *testing.T) {
	for name, said := range map[string]hello{
		"an announcement": {From: "10.0.0.7", Announce: true},
		"a follower":      {From: "10.0.0.7"},
	} {
		t.Run(name, func(t *testing.T) {
			r := New(Config{Address: "10.0.0.1", Freshness: time.Second})
			near, far := net.Pipe()
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go r.greet(ctx, far)
			must.NoError(t, json.NewEncoder(near).Encode(said))
			must.Eq[any](t, replication.PeerSeen{Address: "10.0.0.7"}, <-r.inputs)
			must.NoError(t, near.Close())
		})
	}
}
