package control

import (
	"maps"
	"time"

	"sliphead/internal/distribution"
	"sliphead/internal/version"
	"sliphead/internal/wire"
)

// Status is a node's control state as shown to operators.
type Status struct {
	Name         string              `json:"name"`
	Zone         string              `json:"zone"`
	Ready        bool                `json:"ready"`
	Leaving      bool                `json:"leaving"`
	Version      version.Version     `json:"version"`
	Clock        string              `json:"clockCorrection"`
	Members      []wire.Member       `json:"members"`
	Distribution distribution.Status `json:"distribution"`
	// PeerVersions are the active versions of peers, as last reported by them.
	PeerVersions map[string]version.Version `json:"peerVersions"`
	ResolvedAt   time.Time                  `json:"resolvedAt"`
	NextBoundary time.Time                  `json:"nextScheduleBoundary"`
}

// status returns the current state. Only the loop may call it.
func (l *Loop) status(now time.Time) Status {
	return Status{
		Name:         l.config.Membership.Self.Name,
		Zone:         l.config.Membership.Self.Zone,
		Ready:        l.ready && !l.leaving,
		Leaving:      l.leaving,
		Version:      l.distribution.Active().Version(),
		Clock:        l.clock.correction().String(),
		Members:      l.membership.Live(),
		Distribution: l.distribution.Status(),
		PeerVersions: maps.Clone(l.peerVersions),
		ResolvedAt:   l.publisher.lastPublish,
		NextBoundary: l.publisher.nextBoundary,
	}
}
