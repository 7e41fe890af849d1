package replicator

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"sliphead/internal/liveness"
	"sliphead/internal/replication"
)

// A node that starts while the store is away knows no other node. Whoever had a
// stream to or from it knocks at once and again: it opens a connection to say that
// it is there. That finds it sooner than the knocks in turn of replication.Knock,
// which also reach nodes to which there was no stream.

// Shares of Config.Freshness, and the number of knocks at one node.
const (
	firstKnockShare = 0.15
	mostKnockShare  = 1.0
	mostKnocks      = 12
)

// knockLater knocks at a node whose stream was lost until it is there, unless
// that is being done already. Only the owner calls it.
func (r *Replicator) knockLater(ctx context.Context, address string) {
	if r.knocking[address] {
		return
	}
	r.knocking[address] = true
	go func() {
		r.knockUntilThere(ctx, address)
		r.submit(ctx, knocked{address})
	}()
}

// knocked tells the owner that no more knocks are made at a node.
type knocked struct{ address string }

func (r *Replicator) knockUntilThere(ctx context.Context, address string) {
	wait := r.share(firstKnockShare)
	for range mostKnocks {
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		if r.knock(ctx, replication.Knock{Address: address}) {
			return
		}
		wait = min(2*wait, r.share(mostKnockShare))
	}
}

// knock reports whether the node was there.
func (r *Replicator) knock(ctx context.Context, at replication.Knock) bool {
	conn, err := r.dial(ctx, at.Address)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	return json.NewEncoder(conn).Encode(hello{From: r.config.Address, Knock: true, Fast: r.config.Fast, Preferred: at.Preferred}) == nil
}

// dial opens a connection to another node's peer listener.
func (r *Replicator) dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := liveness.Dialer(net.ParseIP(r.config.Listen), r.share(silence))
	return dialer.DialContext(ctx, "tcp", net.JoinHostPort(address, r.config.Port))
}
