package membership

import "sliphead/internal/wire"

// Upper bounds of the encoded size, in bytes, without the texts.
const (
	memberOverhead   = 190 // names of the fields, three numbers
	compactOverhead  = 130
	envelopeOverhead = 90 // envelope, kind and number
	digestsOverhead  = 190
	escapedLength    = 6 // of one character written as \u003c
)

// textSize returns the most bytes that the text takes in JSON.
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
			size += escapedLength - 1
		}
	}
	return size
}

// memberSize returns an upper bound of the encoded size of a register.
func memberSize(member wire.Member) int {
	if isCompact(member) {
		return compactOverhead + textSize(member.Name) + len(member.Status) + len(member.Endpoint)
	}
	size := memberOverhead + len(member.Status) + len(member.Endpoint)
	size += textSize(member.Name) + textSize(member.Zone) + textSize(member.Region)
	size += textSize(member.Service) + textSize(member.Worker)
	return size + textSize(member.Peer) + textSize(member.Inbound)
}

// baseSize returns an upper bound of the encoded size of a message without
// registers.
func baseSize(from string, digests wire.Digests) int {
	size := envelopeOverhead + digestsOverhead + textSize(from)
	return size + textSize(digests.Active.Digest) + textSize(digests.Staged.Digest)
}
