package event

import (
	"testing"

	"github.com/apex/log"
	"github.com/shoenig/test/must"
)

func TestFormatPutsEventFirstAndParseReversesIt(t *testing.T) {
	line := Format(log.Fields{"zone": "edappally", "cause": `a "b" c=d`, "event": "x", "name": "n", "empty": ""})
	must.Eq(t, `event=x name=n cause="a \"b\" c=d" empty="" zone=edappally`, line)
	must.MapEq(t, map[string]string{"event": "x", "name": "n", "cause": `a "b" c=d`, "empty": "", "zone": "edappally"}, Parse(line))
}

func TestParseIgnoresWordsWithoutEqualsSign(t *testing.T) {
	must.MapEq(t, map[string]string{"level": "info", "event": "x"}, Parse("  hello level=info there event=x end"))
	must.MapEq(t, map[string]string{"a": `"open`}, Parse(`a="open`))
}
