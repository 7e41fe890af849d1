package replicator

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"sliphead/internal/liveness"
	"sliphead/internal/replication"
)

// A node that starts while the store is unreachable knows no other node. So after a stream
// between two nodes is lost, the remaining node announces itself repeatedly, by opening a
// connection. This reaches the restarted node sooner than the rotating announcements of
// replication.Announce, which in turn reach nodes without a previous stream.

// Durations as shares of Config.Freshness, and the maximum number of announcements to one node.
const (
	minAnnounceShare = 0.15
	maxAnnounceShare = 1.0
	maxAnnouncements = 12
)

// announceRepeatedly announces this node to one whose stream was lost, until it is reached,
// unless this is already under way. Only the owner goroutine calls it.
func (r *Replicator) announceRepeatedly(ctx context.Context, address string) {
	if r.announcing[address] {
		return
	}
	r.announcing[address] = true
	go func() {
		r.announceUntilReached(ctx, address)
		r.submit(ctx, announcementsEnded{address})
	}()
}

// announcementsEnded reports to the owner that no more announcements are sent to a node.
type announcementsEnded struct{ address string }

func (r *Replicator) announceUntilReached(ctx context.Context, address string) {
	wait := r.share(minAnnounceShare)
	for range maxAnnouncements {
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		if r.announce(ctx, replication.Announce{Address: address}) {
			return
		}
		wait = min(2*wait, r.share(maxAnnounceShare))
	}
}

// announce sends an announcement and reports whether the node was reached.
func (r *Replicator) announce(ctx context.Context, announcement replication.Announce) bool {
	conn, err := r.dial(ctx, announcement.Address)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	return json.NewEncoder(conn).Encode(hello{From: r.config.Address, Announce: true, Fast: r.config.Fast, Preferred: announcement.Preferred}) == nil
}

func (r *Replicator) dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := liveness.Dialer(net.ParseIP(r.config.Listen), r.share(dialTimeoutShare))
	return dialer.DialContext(ctx, "tcp", net.JoinHostPort(address, r.config.Port))
}
