package distribution

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestVersionGoesFromOneReaderToAll(t *testing.T) {
	f := newFleet(t, 1, 40, 4)
	f.startAll()
	first := edition{revision: 1}.set(t)
	f.publish(first)
	must.True(t, f.until(f.now.Add(10*time.Second), func() bool { return f.agree(first.Version()) }))
	f.run(time.Second)
	before := f.logs[LogAccepted]
	second := edition{revision: 2}.set(t)
	f.publish(second)
	must.True(t, f.until(f.now.Add(time.Second), func() bool { return f.agree(second.Version()) }))
	must.Eq(t, before+1, f.logs[LogAccepted])
}
