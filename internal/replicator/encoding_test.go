package replicator

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"sliphead/internal/catalog"
)

// manyRoutes returns a batch that adds routes, as relayed after a change of a thousand routes.
func manyRoutes(count int) catalog.Batch {
	difference := &catalog.Difference{From: 1, To: 2}
	for index := range count {
		name := fmt.Sprintf("%x", uint64(index+1)*0x9E3779B97F4A7C15)
		difference.Put = append(difference.Put, catalog.Route{
			Name: "r-" + name[:7], Host: "shop.example", PathPrefix: "/" + name[7:] + "/",
			Targets: []catalog.WeightedTarget{{Service: "orders", Weight: 1}}, Repeatable: true,
			MaxAttempts: 2, Timeout: time.Second, Target: 400 * time.Millisecond,
		})
	}
	return catalog.Batch{From: 7, To: 8, Changes: []catalog.Change{{Revision: 8, Difference: difference}}}
}

func TestUpdateRoundTrip(t *testing.T) {
	for _, sent := range []update{
		{Age: time.Second},
		{Batch: manyRoutes(1), Age: time.Millisecond},
		{Batch: manyRoutes(1000)},
	} {
		line, err := json.Marshal(sent)
		must.NoError(t, err)
		var read update
		must.NoError(t, json.Unmarshal(line, &read))
		must.Eq(t, sent, read)
	}
}

// Without compression, a thousand routes took 200 kB per follower, which delayed requests on a
// link of 10 Mbit/s for seconds.
func TestLargeUpdateIsCompressed(t *testing.T) {
	const bytesPerRoute = 35
	line, err := json.Marshal(update{Batch: manyRoutes(1000)})
	must.NoError(t, err)
	must.Less(t, 1000*bytesPerRoute, len(line))
}

func TestMalformedUpdateIsRejected(t *testing.T) {
	for _, line := range []string{
		`{"packed":"AAAA","age":0}`, `{"age":1}`, `{"batch":7,"age":0}`, `{"batch":{},"age":"x"}`, `[]`,
	} {
		var read update
		must.Error(t, json.Unmarshal([]byte(line), &read), must.Sprint(line))
	}
}
