// Package settings defines the settings of a node: a strict YAML file, overridden by flags.
// Its only I/O is reading that file.
package settings

import (
	"io"
	"time"

	"github.com/goccy/go-yaml"

	"sliphead/internal/fault"
)

// Profile selects between fast convergence and few control bytes.
type Profile string

// The profiles.
const (
	ProfileConvergence Profile = "convergence" // small batches, fast convergence
	ProfileBytes       Profile = "bytes"       // large batches, few bytes
)

// Settings are all settings of one node.
type Settings struct {
	Name         string            `yaml:"name" validate:"required,max=253,nodeName"`
	Zone         string            `yaml:"zone" validate:"required,max=253"`
	Region       string            `yaml:"region" validate:"required,max=253"`
	Service      string            `yaml:"service,omitempty" validate:"max=253,required_with=Worker"` // "" at an edge
	Profile      Profile           `yaml:"profile" validate:"oneof=convergence bytes"`
	Worker       *Worker           `yaml:"worker,omitempty"` // nil at an edge
	Listen       Listen            `yaml:"listen"`
	Advertise    Advertise         `yaml:"advertise"`
	Source       Source            `yaml:"source"`
	Seeds        []string          `yaml:"seeds,omitempty" validate:"dive,address"`
	Security     Security          `yaml:"security"`
	Callers      Callers           `yaml:"callers,omitempty"`
	Distribution Distribution      `yaml:"distribution"`
	Membership   Membership        `yaml:"membership"`
	Claims       Claims            `yaml:"claims"`
	Limits       Limits            `yaml:"limits"`
	Drain        Drain             `yaml:"drain"`
	Retry        Retry             `yaml:"retry"`
	Cold         Cold              `yaml:"cold"`
	Quota        Quota             `yaml:"quota"`
	Tenants      Tenants           `yaml:"tenants"`
	Regions      map[string]string `yaml:"regions,omitempty"` // region by zone; used with a store
}

// Worker is the back end beside the node.
type Worker struct {
	Name           string   `yaml:"name" validate:"required,max=253"`
	Address        string   `yaml:"address" validate:"address"`
	HealthPath     string   `yaml:"healthPath" validate:"startswith=/"`
	HealthInterval Duration `yaml:"healthInterval" validate:"atLeast=1s"` // a probe may cost 6 ms
}

// Listen are the addresses on which the node listens.
type Listen struct {
	Peer     string `yaml:"peer" validate:"address"`
	Inbound  string `yaml:"inbound,omitempty" validate:"omitempty,address"` // required with a worker, not allowed without
	Outbound string `yaml:"outbound" validate:"address"`
	Admin    string `yaml:"admin" validate:"address"`
	Quota    string `yaml:"quota,omitempty" validate:"omitempty,address"` // for the datagrams of quotas, with a store; if absent, tenants have no limits
}

// Advertise are the addresses that are announced to peers; by default those of Listen.
type Advertise struct {
	Peer    string `yaml:"peer,omitempty" validate:"address,routable"`
	Inbound string `yaml:"inbound,omitempty" validate:"omitempty,address,routable"`
}

// Source locates the platform's configuration service and machine list, or its store.
type Source struct {
	Configuration    string   `yaml:"configuration,omitempty" validate:"required_without=Store,omitempty,http_url"`
	Store            string   `yaml:"store,omitempty" validate:"excluded_with=Configuration,omitempty,address"` // IP:port of a linearizable store, in place of configuration and machines
	Freshness        Duration `yaml:"freshness" validate:"atLeast=200ms,atMost=1m"`                             // with a store: the time within which a change must be in force
	Machines         string   `yaml:"machines,omitempty" validate:"omitempty,http_url"`
	Readers          int      `yaml:"readers" validate:"min=1,max=1000"`          // maximum number of nodes that read, fleet-wide
	LongPoll         Duration `yaml:"longPoll" validate:"atLeast=0s,atMost=5m"`   // 0: requests return at once
	MachinesInterval Duration `yaml:"machinesInterval" validate:"atLeast=1s"`     // mean time between two requests for the machine list
	Timeout          Duration `yaml:"timeout" validate:"atLeast=100ms,atMost=5m"` // for one response, in addition to the long poll
}

// Security configures the keys of the peer protocol: either plain or all the files are set.
type Security struct {
	Plain           bool   `yaml:"plain,omitempty"` // no authentication; for tests only
	CertificateFile string `yaml:"certificateFile,omitempty"`
	KeyFile         string `yaml:"keyFile,omitempty"`
	AuthorityFile   string `yaml:"authorityFile,omitempty"`
	DatagramKeyFile string `yaml:"datagramKeyFile,omitempty"`
}

// Callers configures the keys of the listeners for callers; without them these use HTTP
// without TLS.
type Callers struct {
	CertificateFile string `yaml:"certificateFile,omitempty" validate:"required_with=KeyFile"`
	KeyFile         string `yaml:"keyFile,omitempty" validate:"required_with=CertificateFile"`
}

// Distribution configures how versions are distributed.
type Distribution struct {
	Holders         int      `yaml:"holders" validate:"min=1,max=15"`        // members that must have staged a version before it is accepted
	Fanout          int      `yaml:"fanout" validate:"min=2,max=64"`         // mean number of children per node in the distribution tree
	ReadersPerZone  int      `yaml:"readersPerZone" validate:"min=1,max=16"` // nodes of each zone that read the source
	Lease           Duration `yaml:"lease" validate:"atLeast=100ms,atMost=1m"`
	ScheduleOverlap Duration `yaml:"scheduleOverlap" validate:"atLeast=0s,atMost=59s"` // less than one minute, the minimum length of a schedule's window
}

// Membership configures the failure detector.
type Membership struct {
	ProbeInterval  Duration `yaml:"probeInterval" validate:"atLeast=50ms,atMost=1m"`
	GossipInterval Duration `yaml:"gossipInterval" validate:"atLeast=10ms,atMost=1m"` // default by profile
}

// Claims configures the requests that must not be repeated.
type Claims struct {
	KeyLife   Duration  `yaml:"keyLife" validate:"atLeast=1s,atMost=24h"`
	GroupSize int       `yaml:"groupSize" validate:"min=1,max=15"`
	ClockSkew Duration  `yaml:"clockSkew" validate:"atLeast=0s,atMost=10m"`        // maximum difference between the nodes' clocks
	CopyOnly  bool      `yaml:"copyOnly,omitempty"`                                // a replica that can't copy records gives no vote, however long it has run; requires Since for the first start
	Since     time.Time `yaml:"since,omitempty" validate:"required_with=CopyOnly"` // no replica votes before this time; replicas started before it have lost no state
}

// Limits limit the resources that callers may use.
type Limits struct {
	MaxHeaderBytes  int      `yaml:"maxHeaderBytes" validate:"min=1024,max=1048576"`
	HeaderTimeout   Duration `yaml:"headerTimeout" validate:"atLeast=100ms"`
	IdleTimeout     Duration `yaml:"idleTimeout" validate:"atLeast=1s"`
	BodyIdleTimeout Duration `yaml:"bodyIdleTimeout" validate:"atLeast=1s"`
	QueueLength     int      `yaml:"queueLength" validate:"min=1,max=100000"`
	MaxConnections  int      `yaml:"maxConnections" validate:"min=1,max=1000000"`
	RegionBytes     float64  `yaml:"regionBytes" validate:"min=1,max=1000"`           // cost of a byte between regions, as a multiple of one between zones
	LinkMbps        float64  `yaml:"linkMbps,omitempty" validate:"min=0,max=1000000"` // capacity of the machine's link, megabits per second; 0: unknown, long bodies are not paced
}

// Cold limits the rate of a cold worker beyond the requests per second that its service
// declares, with a store.
type Cold struct {
	Overage float64 `yaml:"overage" validate:"min=1,max=10"`  // multiple of the declared rate
	Slack   float64 `yaml:"slack" validate:"min=0,max=10000"` // additional requests within any second
}

// Quota limits by how much a tenant may exceed its rate and burst over the whole mesh, with a
// store and listen.quota.
type Quota struct {
	Window  Duration `yaml:"window" validate:"atLeast=1s,atMost=1h"` // the limit applies to any window of this length
	Overage float64  `yaml:"overage" validate:"min=0,max=10"`        // fraction of rate x window + burst
	Slack   float64  `yaml:"slack" validate:"min=0,max=10000"`       // additional requests in a window
}

// Tenants configures the checks of callers' keys, with a store.
type Tenants struct {
	FailClosedAfter Duration `yaml:"failClosedAfter" validate:"atLeast=0s,atMost=10m"` // maximum time since a node last confirmed that it has the latest keys; after it, the node rejects requests that need a key. 0: no maximum, it uses the keys that it has
}

// Retry limits repeated arrivals of requests at workers, with a store.
type Retry struct {
	Ratio float64 `yaml:"ratio" validate:"min=0,max=1"`    // of the requests
	Slack int     `yaml:"slack" validate:"min=0,max=1000"` // arrivals in addition to the ratio, for the whole mesh
}

// Drain configures the planned stop.
type Drain struct {
	Timeout Duration `yaml:"timeout" validate:"atLeast=1s,atMost=24h"`          // after it, requests in flight are aborted
	Worker  Duration `yaml:"worker,omitempty" validate:"atLeast=0s,atMost=10m"` // with a store: how long a worker may be sent requests after its record was removed
}

// The gossip intervals of the profiles.
const (
	gossipForConvergence = 50 * time.Millisecond
	gossipForBytes       = 500 * time.Millisecond
)

// GossipInterval returns the default time between two rounds of gossip.
func (p Profile) GossipInterval() time.Duration {
	if p == ProfileBytes {
		return gossipForBytes
	}
	return gossipForConvergence
}

// Default returns the default settings. Names, addresses, the source and security have no
// default.
func Default() *Settings {
	return &Settings{
		Profile:      ProfileConvergence,
		Source:       Source{Freshness: Duration{2 * time.Second}, Readers: 16, LongPoll: Duration{20 * time.Second}, MachinesInterval: Duration{10 * time.Second}, Timeout: Duration{5 * time.Second}},
		Distribution: Distribution{Holders: 3, Fanout: 8, ReadersPerZone: 2, Lease: Duration{2 * time.Second}, ScheduleOverlap: Duration{10 * time.Second}},
		Membership:   Membership{ProbeInterval: Duration{time.Second}},
		Claims:       Claims{KeyLife: Duration{10 * time.Minute}, GroupSize: 5, ClockSkew: Duration{10 * time.Second}},
		Limits: Limits{
			MaxHeaderBytes:  64 << 10,
			HeaderTimeout:   Duration{5 * time.Second},
			IdleTimeout:     Duration{time.Minute},
			BodyIdleTimeout: Duration{30 * time.Second},
			QueueLength:     256,
			MaxConnections:  4096,
			RegionBytes:     4, // an assumption: traffic between regions costs a few times as much; operators who know the prices set their own
		},
		Drain: Drain{Timeout: Duration{10 * time.Minute}},
		Retry: Retry{Ratio: 0.2, Slack: 64},
		Cold:  Cold{Overage: 1},
		Quota: Quota{Window: Duration{5 * time.Second}, Overage: 0.25, Slack: 20},
	}
}

// derive sets the defaults that depend on other settings.
func (s *Settings) derive() {
	if s.Advertise.Peer == "" {
		s.Advertise.Peer = s.Listen.Peer
	}
	if s.Advertise.Inbound == "" {
		s.Advertise.Inbound = s.Listen.Inbound
	}
	if s.Membership.GossipInterval.Duration == 0 {
		s.Membership.GossipInterval.Duration = s.Profile.GossipInterval()
	}
	if s.Worker == nil {
		return
	}
	if s.Worker.HealthPath == "" {
		s.Worker.HealthPath = "/health"
	}
	if s.Worker.HealthInterval.Duration == 0 {
		s.Worker.HealthInterval.Duration = time.Second
	}
}

// Print writes the effective settings as YAML. These contain the names of key files but no
// keys.
func (s *Settings) Print(writer io.Writer) error {
	text, err := yaml.Marshal(s)
	if err != nil {
		return fault.Wrap(err, fault.Internal, "report this defect", "print the settings")
	}
	_, err = writer.Write(text)
	return err
}
