package mesh

import (
	"os"
	"path/filepath"
	"time"

	"github.com/goccy/go-yaml"

	"sliphead/internal/fault"
)

// nodeSettings is the settings file of a node, as far as the lab sets it.
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

// claimSettings tell the nodes when the fleet began, so that its first replicas
// need not wait for a key's life before they vote.
type claimSettings struct {
	Since     time.Time `yaml:"since"`
	ClockSkew string    `yaml:"clockSkew"`
}

// The nodes of a mesh share one machine's clock, and all start within startTime.
const (
	clockSkew = 100 * time.Millisecond
	startTime = 3 * time.Second
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
		Advertise: listenSettings{Peer: node.PeerAt, Inbound: node.InboundAt},
		Source:    sourceSettings{Configuration: "http://" + addresses.platformAt(portSource), Machines: "http://" + addresses.platformAt(portMachines)},
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
