package sleep

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

func TestForEndsAfterDurationOrContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		started := time.Now()
		must.True(t, For(t.Context(), time.Second))
		must.Eq(t, time.Second, time.Since(started))
		must.True(t, For(t.Context(), 0))

		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		must.False(t, For(ctx, time.Minute))
		must.Eq(t, 2*time.Second, time.Since(started))
		must.False(t, For(ctx, 0))
	})
}
