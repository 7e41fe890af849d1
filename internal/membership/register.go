package membership

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"sliphead/internal/wire"
)

const (
	// maxStartSkew bounds how far Start may lie ahead of the receiver's clock. A
	// member supersedes forged registers, whatever their incarnation or sequence,
	// by a greater Start. So Start is the one field that must not reach its maximum.
	maxStartSkew = 24 * time.Hour
	// startJitter bounds the random part, in milliseconds, of a Start that
	// supersedes one that this process did not set.
	startJitter = 1000
	// maxFieldBytes bounds each text field of a register.
	maxFieldBytes = 128
)

// statusRank orders statuses of one incarnation: the higher rank wins in merge.
// It is 0 for an unknown status.
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

// validRegister reports whether a received register is well formed: known status
// and endpoint state, bounded fields and a Start that is not too far ahead of now.
func validRegister(member wire.Member, now time.Time) bool {
	if member.Name == "" || statusRank(member.Status) == 0 || !validEndpoint(member.Endpoint) {
		return false
	}
	texts := [...]string{
		member.Name, member.Zone, member.Region, member.Service,
		member.Worker, member.Peer, member.Inbound,
	}
	for _, text := range texts {
		if len(text) > maxFieldBytes {
			return false
		}
	}
	return member.Start >= 0 && member.Start <= now.Add(maxStartSkew).UnixMilli()
}

// compact returns the register without the fields that are constant for the
// lifetime of the process. A receiver that lacks the full register drops it.
func compact(member wire.Member) wire.Member {
	return wire.Member{
		Name: member.Name, Start: member.Start, Incarnation: member.Incarnation,
		Status: member.Status, Endpoint: member.Endpoint, Sequence: member.Sequence,
	}
}

func isCompact(member wire.Member) bool { return member.Peer == "" }

// withIdentity returns the update with the constant fields of the current register.
func withIdentity(update, current wire.Member) wire.Member {
	result := current
	result.Start = update.Start
	result.Incarnation = update.Incarnation
	result.Status = update.Status
	result.Endpoint = update.Endpoint
	result.Sequence = update.Sequence
	return result
}

// merge joins two registers of one name. It is idempotent, and commutative for
// registers that correct nodes produce. For the same Start, the constant fields
// keep the values that were received first.
func merge(current, update wire.Member) wire.Member {
	if update.Start != current.Start {
		if update.Start > current.Start && !isCompact(update) {
			return update
		}
		return current
	}
	update = withIdentity(update, current)
	result := current
	if update.Incarnation > current.Incarnation {
		result = update
	}
	if update.Incarnation == current.Incarnation && statusRank(update.Status) > statusRank(current.Status) {
		result.Status = update.Status
	}
	endpoint := newerEndpoint(current, update)
	result.Endpoint, result.Sequence = endpoint.Endpoint, endpoint.Sequence
	return result
}

// newerEndpoint returns the register with the newer endpoint state. Two states
// with the same sequence can only come from two processes of one name, where any
// deterministic order is correct.
func newerEndpoint(current, update wire.Member) wire.Member {
	if update.Sequence > current.Sequence {
		return update
	}
	if update.Sequence == current.Sequence && update.Endpoint > current.Endpoint {
		return update
	}
	return current
}

// registerHash returns the hash of the mutable fields of a register. It is 0 for a
// dead member, so that nodes agree whether or not they still retain its tombstone.
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
