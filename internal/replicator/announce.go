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
// stream to or from it announces itself at once and again: it opens a connection to say that
// it is there. That finds it sooner than the announcements in turn of replication.Announce,
// which also reach nodes to which there was no stream.

// Shares of Config.Freshness, and the number of announcements to one node.
const (
	firstAnnounceShare = 0.15
	mostAnnounceShare  = 1.0
	mostAnnouncements  = 12
)

// announceLater announces this node to one whose stream was lost until it is there, unless
// that is being done already. Only the owner calls it.
func (r *Replicator) announceLater(ctx context.Context, address string) {
	if r.announcing[address] {
		return
	}
	r.announcing[address] = true
	go func() {
		r.announceUntilThere(ctx, address)
		r.submit(ctx, announced{address})
	}()
}

// announced tells the owner that a node is sent no more announcements.
type announced struct{ address string }

func (r *Replicator) announceUntilThere(ctx context.Context, address string) {
	wait := r.share(firstAnnounceShare)
	for range mostAnnouncements {
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		if r.announce(ctx, replication.Announce{Address: address}) {
			return
		}
		wait = min(2*wait, r.share(mostAnnounceShare))
	}
}

// announce reports whether the node was there.
func (r *Replicator) announce(ctx context.Context, at replication.Announce) bool {
	conn, err := r.dial(ctx, at.Address)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	return json.NewEncoder(conn).Encode(hello{From: r.config.Address, Announce: true, Fast: r.config.Fast, Preferred: at.Preferred}) == nil
}

// dial opens a connection to another node's peer listener.
func (r *Replicator) dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := liveness.Dialer(net.ParseIP(r.config.Listen), r.share(silence))
	return dialer.DialContext(ctx, "tcp", net.JoinHostPort(address, r.config.Port))
}
