package control

import (
	"maps"
	"time"

	"sliphead/internal/distribution"
	"sliphead/internal/version"
	"sliphead/internal/wire"
)

// Status is what a node says of its control state, for operators.
type Status struct {
	Name         string              `json:"name"`
	Zone         string              `json:"zone"`
	Ready        bool                `json:"ready"`
	Leaving      bool                `json:"leaving"`
	Version      version.Version     `json:"version"`
	Clock        string              `json:"clockCorrection"`
	Members      []wire.Member       `json:"members"`
	Distribution distribution.Status `json:"distribution"`
	// PeerVersions are the versions in force at peers, as they last said.
	PeerVersions map[string]version.Version `json:"peerVersions"`
	ResolvedAt   time.Time                  `json:"resolvedAt"`
	NextBoundary time.Time                  `json:"nextScheduleBoundary"`
}

// status gathers the state. Only the loop calls it.
func (l *Loop) status(now time.Time) Status {
	return Status{
		Name:         l.config.Membership.Self.Name,
		Zone:         l.config.Membership.Self.Zone,
		Ready:        l.fresh && !l.leaving,
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
