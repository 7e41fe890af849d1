package ascii

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestIsVisible(t *testing.T) {
	for text, visible := range map[string]bool{
		"": true, "!": true, "~": true, `i-1/"a";b=c`: true,
		" ": false, "a b": false, "a\tb": false, "a\r\n": false, "\x00": false, "\x7f": false, "é": false, "\xff": false,
	} {
		must.Eq(t, visible, IsVisible(text), must.Sprintf("%q", text))
	}
}
