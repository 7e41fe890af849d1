package node

import (
	"testing"

	"github.com/shoenig/test/must"

	"sliphead/internal/settings"
)

func TestClaimConfigAppliesCopyOnly(t *testing.T) {
	n := &Node{settings: settings.Default()}
	must.False(t, n.claimConfig().CopyOnly)
	n.settings.Claims.CopyOnly = true
	must.True(t, n.claimConfig().CopyOnly)
}
