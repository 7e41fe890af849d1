package latency

import (
	"bufio"
	"net/http"
	"strconv"
	"strings"
	"time"

	"sliphead/internal/declaration"
	"sliphead/internal/fault"
	"sliphead/lab/mesh"
)

const (
	zoneName  = "zone-a"
	region    = "region-a"
	service   = "prices"
	routePath = "/prices"
)

// plan returns the plan of a mesh of one edge node and one worker in one zone.
func plan(options Options) *mesh.Plan {
	return &mesh.Plan{
		Name:         "latency",
		Region:       region,
		Profile:      "convergence",
		EdgesPerZone: 1,
		Zones:        []declaration.Zone{{Name: zoneName, Region: region, TimeZone: "UTC"}},
		Services: []mesh.Service{{
			Name:             service,
			Workers:          1,
			Slots:            options.Slots,
			Connections:      connections,
			ConnectionCostMS: 1,
			RunTimeMS:        options.RunMillis,
		}},
		Selectors: []declaration.Selector{{Name: "all", Service: service}},
		Routes: []declaration.Route{{
			Name: "prices", PathPrefix: routePath, Service: service, Selectors: []string{"all"},
			Priority: declaration.PriorityInternal, Repeatable: true, DeadlineMS: 10_000,
		}},
	}
}

// connections limits the worker's open connections. It must suffice for those of
// the callers, the relays and the node together.
const connections = 2000

// nodesCPU returns the total CPU time that the nodes of a path have used.
func (r *runner) nodesCPU(path Path) (time.Duration, error) {
	var total time.Duration
	for _, node := range r.meshes[path].Nodes {
		used, err := readCPU(node.Admin)
		if err != nil {
			return 0, err
		}
		total += used
	}
	return total, nil
}

// cpuMetric is the name, and the space after it, of the metric of a process's CPU
// time in seconds.
const cpuMetric = "process_cpu_seconds_total "

func readCPU(admin string) (time.Duration, error) {
	const remedy = "read the node's log in the lab's directory"
	client := http.Client{Timeout: 10 * time.Second}
	response, err := client.Get("http://" + admin + "/metrics")
	if err != nil {
		return 0, fault.Wrap(err, fault.Unready, remedy, "request the metrics of %s", admin)
	}
	defer response.Body.Close()
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		if text, found := strings.CutPrefix(scanner.Text(), cpuMetric); found {
			seconds, err := strconv.ParseFloat(text, 64)
			return time.Duration(seconds * float64(time.Second)), err
		}
	}
	return 0, fault.New(fault.Unready, remedy, "%s has no metric %s", admin, cpuMetric)
}
