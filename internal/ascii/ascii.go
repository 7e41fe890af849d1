// Package ascii classifies texts that travel in headers.
package ascii

import "strings"

// IsVisible reports whether a text consists of visible ASCII characters only: a header carries it
// without escapes and without blanks.
func IsVisible(text string) bool {
	return !strings.ContainsFunc(text, func(character rune) bool { return character <= ' ' || character > '~' })
}
