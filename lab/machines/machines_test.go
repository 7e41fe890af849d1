package machines

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestChangesBecomeVisibleAfterTheLag(t *testing.T) {
	now := time.Unix(1000, 0)
	list := New(5*time.Second, func() time.Time { return now })
	first := Machine{Name: "a", State: StateLive}
	list.Seed(first)
	must.Eq(t, []Machine{first}, list.Visible())

	leaving := Machine{Name: "a", State: StateLeaving}
	list.Set(leaving)
	now = now.Add(3 * time.Second)
	list.Set(Machine{Name: "b"})
	must.Eq(t, []Machine{first}, list.Visible())
	now = now.Add(2 * time.Second)
	must.Eq(t, []Machine{leaving}, list.Visible())
	list.Remove("a")
	now = now.Add(3 * time.Second)
	must.Eq(t, []Machine{leaving, {Name: "b"}}, list.Visible())
	now = now.Add(2 * time.Second)
	must.Eq(t, []Machine{{Name: "b"}}, list.Visible())
}
