package mesh

import (
	"os"
	"path/filepath"
	"time"

	"github.com/goccy/go-yaml"

	"sliphead/internal/fault"
)

// nodeSettings holds the settings of a node that the lab sets.
type nodeSettings struct {
	Name      string          `yaml:"name"`
	Zone      string          `yaml:"zone"`
	Region    string          `yaml:"region"`
	Service   string          `yaml:"service,omitempty"`
	Profile   string          `yaml:"profile"`
	Worker    *workerSettings `yaml:"worker,omitempty"`
	Listen    listenSettings  `yaml:"listen"`
	Advertise listenSettings  `yaml:"advertise"`
	Source    sourceSettings  `yaml:"source"`
	Security  security        `yaml:"security"`
	Claims    claimSettings   `yaml:"claims"`
}

// claimSettings gives the nodes the start time of the fleet, so that its first
// replicas may vote without first waiting for the lifetime of a key.
type claimSettings struct {
	Since     time.Time `yaml:"since"`
	ClockSkew string    `yaml:"clockSkew"`
}

// All nodes of a mesh use the clock of one machine, and start within maxStartTime.
const (
	clockSkew    = 100 * time.Millisecond
	maxStartTime = 3 * time.Second
)

type workerSettings struct {
	Name       string `yaml:"name"`
	Address    string `yaml:"address"`
	HealthPath string `yaml:"healthPath"`
}

type listenSettings struct {
	Peer     string `yaml:"peer"`
	Inbound  string `yaml:"inbound,omitempty"`
	Outbound string `yaml:"outbound,omitempty"`
	Admin    string `yaml:"admin,omitempty"`
}

type sourceSettings struct {
	Configuration string `yaml:"configuration"`
	Machines      string `yaml:"machines"`
}

type security struct {
	Plain bool `yaml:"plain"`
}

// writeSettings writes a node's settings file and returns its path.
func writeSettings(directory, profile string, addresses layout, since time.Time, node *PlannedNode) (string, error) {
	settings := nodeSettings{
		Name:      node.Name,
		Zone:      node.Zone,
		Region:    node.Region,
		Service:   node.Service,
		Profile:   profile,
		Listen:    listenSettings{Peer: node.Peer, Inbound: node.Inbound, Outbound: node.Outbound, Admin: node.Admin},
		Advertise: listenSettings{Peer: node.AdvertisedPeer, Inbound: node.AdvertisedInbound},
		Source:    sourceSettings{Configuration: "http://" + addresses.advertisedPlatform(portSource), Machines: "http://" + addresses.advertisedPlatform(portMachines)},
		Security:  security{Plain: true},
		Claims:    claimSettings{Since: since, ClockSkew: clockSkew.String()},
	}
	if node.Worker != nil {
		settings.Worker = &workerSettings{Name: node.Worker.Name, Address: node.Worker.Address, HealthPath: "/health"}
	}
	data, err := yaml.Marshal(settings)
	if err != nil {
		return "", fault.Wrap(err, fault.Internal, "report this defect", "encode the settings of %s", node.Name)
	}
	path := filepath.Join(directory, node.Name+".yaml")
	const ownerOnly = 0o600
	err = os.WriteFile(path, data, ownerOnly)
	return path, fault.Wrap(err, fault.Settings, "choose a directory that can be written", "write %s", path)
}
