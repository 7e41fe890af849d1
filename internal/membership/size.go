package membership

import (
	"sliphead/internal/version"
	"sliphead/internal/wire"
)

// Upper bounds of the encoded size in bytes, excluding texts and numbers of registers.
const (
	memberOverhead   = 135 // field names of a full register
	compactOverhead  = 75
	envelopeOverhead = 70 // envelope, kind and number
	digestsOverhead  = 60 // view and clock
	versionOverhead  = 90 // including two numbers of maximum length
	escapedBytes     = 6  // of one character written as \u003c
)

// textSize returns an upper bound of the bytes that the text takes in JSON.
func textSize(text string) int {
	size := len(text)
	for index := range len(text) {
		character := text[index]
		plain := character >= ' ' && character < 0x7f
		switch character {
		case '"', '\\', '<', '>', '&':
			plain = false
		}
		if !plain {
			size += escapedBytes - 1
		}
	}
	return size
}

// numberSize returns the number of decimal digits.
func numberSize(number uint64) int {
	const base = 10
	size := 1
	for number >= base {
		number /= base
		size++
	}
	return size
}

// memberSize returns an upper bound of the encoded size of a register.
func memberSize(member wire.Member) int {
	size := textSize(member.Name) + len(member.Status) + len(member.Endpoint)
	size += numberSize(uint64(member.Start)) + numberSize(member.Incarnation) + numberSize(member.Sequence)
	if isCompact(member) {
		return compactOverhead + size
	}
	size += memberOverhead + textSize(member.Zone) + textSize(member.Region)
	size += textSize(member.Service) + textSize(member.Worker)
	return size + textSize(member.Peer) + textSize(member.Inbound)
}

// baseSize returns an upper bound of the encoded size of a message without
// registers.
func baseSize(from string, digests wire.Digests) int {
	size := envelopeOverhead + digestsOverhead + 2*textSize(from)
	for _, advertised := range [...]version.Version{digests.Active, digests.Staged} {
		if !advertised.IsZero() {
			size += versionOverhead + textSize(advertised.Digest)
		}
	}
	return size
}
