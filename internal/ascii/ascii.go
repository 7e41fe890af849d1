// Package ascii classifies texts that travel in headers.
package ascii

import (
	"bytes"
	"strings"
)

// IsVisible reports whether a text consists of visible ASCII characters only: a header carries it
// without escapes and without blanks.
func IsVisible(text string) bool {
	return !strings.ContainsFunc(text, func(character rune) bool { return character <= ' ' || character > '~' })
}

// IsControl reports whether a character is a control character other than a tab.
func IsControl(character rune) bool {
	return character < ' ' && character != '\t' || character == 0x7f
}

// IsToken reports whether a header's name contains only allowed characters (RFC 9110, section
// 5.6.2).
func IsToken(name []byte) bool {
	return !bytes.ContainsFunc(name, func(r rune) bool { return !IsAlphanumeric(r) && !strings.ContainsRune("!#$%&'*+-.^_`|~", r) })
}

// IsAlphanumeric reports whether a character is an ASCII letter or digit.
func IsAlphanumeric(character rune) bool {
	return character >= 'a' && character <= 'z' || character >= 'A' && character <= 'Z' || character >= '0' && character <= '9'
}
