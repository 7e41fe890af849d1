package membership

import (
	"fmt"
	"os"
	"testing"
	"time"
)

func BenchmarkTrace(b *testing.B) {
	f := settledFleet(b, 850, ProfileConvergence)
	show := func() {
		var sus, dead, rum, n, probes int
		max := 0
		hashes := map[uint64]int{}
		for _, x := range f.nodes {
			if x.running {
				n++
				sus += len(x.machine.table.suspects)
				dead += len(x.machine.table.dead)
				rum += x.machine.rumors.len()
				if l := x.machine.table.size(); l > max {
					max = l
				}
				probes += int(x.machine.number)
				hashes[x.machine.ViewHash()]++
			}
		}
		top := 0
		for _, c := range hashes {
			if c > top {
				top = c
			}
		}
		fmt.Fprintf(os.Stderr, "%5.1f n=%d suspects=%.1f dead=%.1f rumors=%.1f maxlive=%d views=%d top=%d probes=%.1f deaths=%d\n", f.now.Sub(f.start).Seconds(), n, float64(sus)/float64(n), float64(dead)/float64(n), float64(rum)/float64(n), max, len(hashes), top, float64(probes)/float64(n), f.deaths)
	}
	f.killHalf()
	for i := 0; i < 60 && !f.agreed(); i++ {
		f.run(500 * time.Millisecond)
		show()
	}
	if os.Getenv("RETURN") == "" {
		return
	}
	for index := 0; index < len(f.nodes); index += 2 {
		f.boot(f.nodes[index], 0)
	}
	for i := 0; i < 60 && !f.agreed(); i++ {
		f.run(500 * time.Millisecond)
		show()
	}
}
