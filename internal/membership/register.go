package membership

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"sliphead/internal/wire"
)

const (
	// startSkew bounds how far Start may lie ahead of the receiver's clock. What
	// a peer forges of a member, however high its incarnation or sequence, the
	// member outdoes by a greater Start; so only Start must not reach its end.
	startSkew = 24 * time.Hour
	// startSpread bounds the random part of a Start that outdoes a foreign one, in
	// milliseconds.
	startSpread = 1000
	// fieldLimit bounds each text of a register, in bytes.
	fieldLimit = 128
)

// statusRank orders what is said of a member under one incarnation.
func statusRank(status wire.Status) int {
	switch status {
	case wire.StatusAlive:
		return 1
	case wire.StatusSuspect:
		return 2
	case wire.StatusLeaving:
		return 3
	case wire.StatusDead:
		return 4
	}
	return 0
}

func validEndpoint(state wire.EndpointState) bool {
	switch state {
	case wire.EndpointNone, wire.EndpointStarting, wire.EndpointReady, wire.EndpointDraining, wire.EndpointGone:
		return true
	}
	return false
}

// plausible reports whether a register received may be looked at further.
func plausible(member wire.Member, now time.Time) bool {
	if member.Name == "" || statusRank(member.Status) == 0 || !validEndpoint(member.Endpoint) {
		return false
	}
	texts := [...]string{
		member.Name, member.Zone, member.Region, member.Service,
		member.Worker, member.Peer, member.Inbound,
	}
	for _, text := range texts {
		if len(text) > fieldLimit {
			return false
		}
	}
	return member.Start >= 0 && member.Start <= now.Add(startSkew).UnixMilli()
}

// compact returns the register without the part that never changes while the
// process lives. A receiver that does not know the process drops it.
func compact(member wire.Member) wire.Member {
	return wire.Member{
		Name: member.Name, Start: member.Start, Incarnation: member.Incarnation,
		Status: member.Status, Endpoint: member.Endpoint, Sequence: member.Sequence,
	}
}

func isCompact(member wire.Member) bool { return member.Peer == "" }

// withIdentity returns the update with the constant part of the held register.
func withIdentity(update, held wire.Member) wire.Member {
	result := held
	result.Start = update.Start
	result.Incarnation = update.Incarnation
	result.Status = update.Status
	result.Endpoint = update.Endpoint
	result.Sequence = update.Sequence
	return result
}

// merge joins two registers of one name. It is idempotent, and commutative for
// registers that honest nodes produce. Under one Start the constant part stays
// as it was first heard.
func merge(held, update wire.Member) wire.Member {
	if update.Start != held.Start {
		if update.Start > held.Start && !isCompact(update) {
			return update
		}
		return held
	}
	update = withIdentity(update, held)
	result := held
	if update.Incarnation > held.Incarnation {
		result = update
	}
	if update.Incarnation == held.Incarnation && statusRank(update.Status) > statusRank(held.Status) {
		result.Status = update.Status
	}
	endpoint := laterEndpoint(held, update)
	result.Endpoint, result.Sequence = endpoint.Endpoint, endpoint.Sequence
	return result
}

// laterEndpoint returns the register whose endpoint part wins. Two states under
// one sequence come only from two processes of one name; any fixed order does.
func laterEndpoint(held, update wire.Member) wire.Member {
	if update.Sequence > held.Sequence {
		return update
	}
	if update.Sequence == held.Sequence && update.Endpoint > held.Endpoint {
		return update
	}
	return held
}

// registerHash returns the hash of the changing part of a register; 0 for a
// dead one, so that nodes that have forgotten it agree with those that have not.
func registerHash(member wire.Member) uint64 {
	if member.Status == wire.StatusDead {
		return 0
	}
	var buffer [320]byte
	text := append(buffer[:0], member.Name...)
	text = append(text, 0)
	text = binary.LittleEndian.AppendUint64(text, uint64(member.Start))
	text = binary.LittleEndian.AppendUint64(text, member.Incarnation)
	text = binary.LittleEndian.AppendUint64(text, member.Sequence)
	text = append(text, member.Status...)
	text = append(text, 0)
	text = append(text, member.Endpoint...)
	return xxhash.Sum64(text)
}
