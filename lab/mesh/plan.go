// Package mesh starts a complete mesh on one machine: stand-ins for the platform,
// workers and nodes as real processes, and links between zones. Closing a mesh
// stops everything that it started.
package mesh

import (
	"os"
	"time"

	"github.com/go-playground/validator/v10"
	"github.com/goccy/go-yaml"

	"sliphead/internal/declaration"
	"sliphead/internal/fault"
	"sliphead/lab/echo"
)

// Plan describes a mesh. It is the content of a plan file in experiments/.
type Plan struct {
	Name                string                 `yaml:"name" validate:"required"`
	Region              string                 `yaml:"region" validate:"required"`
	Profile             string                 `yaml:"profile" validate:"oneof=convergence bytes"`
	DelayBetweenZonesMS float64                `yaml:"delayBetweenZonesMs" validate:"min=0"` // one way
	DelayToClientsMS    float64                `yaml:"delayToClientsMs" validate:"min=0"`    // one way
	MachineListLagMS    int                    `yaml:"machineListLagMs" validate:"min=0"`
	EdgesPerZone        int                    `yaml:"edgesPerZone" validate:"min=1"`
	Zones               []declaration.Zone     `yaml:"zones" validate:"required,dive"`
	Services            []Service              `yaml:"services" validate:"required,dive"`
	Selectors           []declaration.Selector `yaml:"selectors" validate:"required"`
	Routes              []declaration.Route    `yaml:"routes" validate:"required"`
	Secrets             map[string]string      `yaml:"secrets"` // values by name
}

// Service describes the workers of one service.
type Service struct {
	Name             string               `yaml:"name" validate:"required"`
	Workers          int                  `yaml:"workers" validate:"min=1"`
	Slots            int                  `yaml:"slots" validate:"min=1"`
	Connections      int                  `yaml:"connections" validate:"min=1"`
	ConnectionCostMS float64              `yaml:"connectionCostMs" validate:"min=0"`
	ProbeCostMS      float64              `yaml:"probeCostMs" validate:"min=0"`
	RunTimeMS        float64              `yaml:"runTimeMs" validate:"min=0"`
	HealthLagMS      float64              `yaml:"healthLagMs" validate:"min=0"`
	Secret           string               `yaml:"secret"` // name of the credential that its workers require
	Labels           []declaration.Labels `yaml:"labels"` // of the workers, in round robin
}

// Scale limits a plan's size. Zero means no limit.
type Scale struct {
	WorkersPerService int `yaml:"workersPerService"`
	Zones             int `yaml:"zones"`
	Edges             int `yaml:"edges"` // in all zones together
}

// ReadPlan reads and validates a plan from a YAML file. Unknown keys are an error.
func ReadPlan(path string) (*Plan, error) {
	plan := &Plan{}
	if err := ReadYAML(path, plan); err != nil {
		return nil, err
	}
	if err := validator.New().Struct(plan); err != nil {
		return nil, fault.Wrap(err, fault.Settings, "correct the named field", "plan %s", path)
	}
	return plan, nil
}

// ReadYAML decodes a YAML file into target. Unknown keys are an error.
func ReadYAML(path string, target any) error {
	const remedy = "correct the file; see experiments/ for complete examples"
	data, err := os.ReadFile(path)
	if err != nil {
		return fault.Wrap(err, fault.Settings, remedy, "read %s", path)
	}
	err = yaml.UnmarshalWithOptions(data, target, yaml.Strict())
	return fault.Wrap(err, fault.Settings, remedy, "parse %s", path)
}

// Scaled returns a copy of the plan with its zones and workers limited to the scale.
func (p Plan) Scaled(scale Scale) *Plan {
	if scale.Zones > 0 && scale.Zones < len(p.Zones) {
		p.Zones = p.Zones[:scale.Zones]
	}
	p.Services = append([]Service{}, p.Services...)
	for index := range p.Services {
		service := &p.Services[index]
		if scale.WorkersPerService > 0 {
			service.Workers = min(service.Workers, scale.WorkersPerService)
		}
	}
	return &p
}

// Document returns the declarations of the plan.
func (p *Plan) Document() *declaration.Document {
	document := &declaration.Document{
		Epoch:     1,
		Zones:     p.Zones,
		Selectors: append([]declaration.Selector{}, p.Selectors...),
		Routes:    append([]declaration.Route{}, p.Routes...),
	}
	for _, service := range p.Services {
		document.Services = append(document.Services, declaration.Service{Name: service.Name})
	}
	for _, worker := range p.workers() {
		document.Workers = append(document.Workers, worker.Worker)
	}
	for name, value := range p.Secrets {
		document.Secrets = append(document.Secrets, declaration.Secret{Name: name, Digest: echo.Digest([]byte(value))})
	}
	return document
}

func milliseconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Millisecond))
}
