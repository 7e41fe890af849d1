package main

import (
	"context"
	"os"
	"path/filepath"
	"time"

	"github.com/apex/log"
	"golang.org/x/sync/errgroup"

	"sliphead/internal/fault"
	"sliphead/lab/experiment"
	"sliphead/lab/mesh"
	"sliphead/lab/report"
)

// meshFlags holds the flags of all commands that start meshes.
type meshFlags struct {
	NodeBinary string `help:"The sliphead program." default:"bin/sliphead"`
	Octet      int    `help:"Second octet of the loopback addresses, 1 to 126; two meshes use consecutive octets; 0 selects free ones." default:"0"`
	Seed       uint64 `help:"Seed of the random choice of lost datagrams." default:"1"`
	Out        string `help:"Directory for settings, logs and the report; a temporary directory when empty." type:"path"`
}

// directory returns the output directory of a run and a function that removes it if
// it is temporary.
func (f meshFlags) directory() (string, func(), error) {
	if f.Out != "" {
		return f.Out, func() {}, nil
	}
	path, err := os.MkdirTemp("", "sliphead-lab-")
	if err != nil {
		return "", nil, fault.Wrap(err, fault.Settings, "give --out", "create a temporary directory")
	}
	return path, func() { _ = os.RemoveAll(path) }, nil
}

func (f meshFlags) options(directory string, index int) (mesh.Options, error) {
	lab, err := os.Executable()
	if err != nil {
		return mesh.Options{}, fault.Wrap(err, fault.Internal, "run the program by its path", "find this program")
	}
	node, err := filepath.Abs(f.NodeBinary)
	if err != nil {
		return mesh.Options{}, fault.Wrap(err, fault.Settings, "give --node-binary", "find %s", f.NodeBinary)
	}
	octet := f.Octet
	if octet != 0 {
		octet += index
	}
	return mesh.Options{NodeBinary: node, LabBinary: lab, Directory: directory, Octet: octet, Seed: f.Seed}, nil
}

// runFile runs one experiment file and writes its output to directory. index is
// added to a given octet.
func (f meshFlags) runFile(ctx context.Context, path, directory string, index int, logger log.Interface) (*experiment.Outcome, error) {
	spec, plan, err := experiment.Read(path)
	if err != nil {
		return nil, err
	}
	options, err := f.options(directory, index)
	if err != nil {
		return nil, err
	}
	options.Scale = spec.Scale
	return experiment.Run(ctx, spec, plan, experiment.Options{Mesh: options, Logger: logger})
}

// reportOutcome writes the report and the result line. It returns an error if the verdict
// is not pass.
func reportOutcome(outcome *experiment.Outcome, directory string, logger log.Interface) error {
	if err := report.Write(directory, outcome); err != nil {
		return err
	}
	logger.WithFields(outcome.Fields()).Info("")
	if outcome.Verdict() != experiment.VerdictPass {
		return fault.New(fault.Internal, "read the experiment.violation lines above", "experiment %s failed with %d violations", outcome.Name, len(outcome.Violations))
	}
	return nil
}

// demoCommand runs the demo experiments of both users at the same time.
type demoCommand struct {
	meshFlags
	Experiments string `help:"Directory of the experiment files." default:"experiments" type:"existingdir"`
}

// demoTimeout is the time limit of the whole demo.
const demoTimeout = 55 * time.Second

var demoFiles = []string{"demo-chandrika.yaml", "demo-tan-seng-huat.yaml"}

// Run implements the command.
func (c *demoCommand) Run(ctx context.Context, logger log.Interface) error {
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	directory, clean, err := c.directory()
	if err != nil {
		return err
	}
	defer clean()
	outcomes := make([]*experiment.Outcome, len(demoFiles))
	group, groupContext := errgroup.WithContext(ctx)
	for index, name := range demoFiles {
		group.Go(func() error {
			outcome, err := c.runFile(groupContext, filepath.Join(c.Experiments, name), filepath.Join(directory, name), index, logger)
			outcomes[index] = outcome
			return err
		})
	}
	if err := group.Wait(); err != nil {
		logger.WithFields(log.Fields{"event": "experiment.result", "name": "demo", "verdict": experiment.VerdictFail, "cause": err.Error()}).Info("")
		return err
	}
	return reportOutcome(experiment.Merge("demo", outcomes...), directory, logger)
}

// runCommand runs one experiment file.
type runCommand struct {
	meshFlags
	File string `arg:"" help:"Experiment file." type:"existingfile"`
}

// Run implements the command.
func (c *runCommand) Run(ctx context.Context, logger log.Interface) error {
	directory, clean, err := c.directory()
	if err != nil {
		return err
	}
	defer clean()
	outcome, err := c.runFile(ctx, c.File, directory, 0, logger)
	if err != nil {
		logger.WithFields(log.Fields{"event": "experiment.result", "name": filepath.Base(c.File), "verdict": experiment.VerdictFail, "cause": err.Error()}).Info("")
		return err
	}
	return reportOutcome(outcome, directory, logger)
}

// reportCommand draws the plots of a report.
type reportCommand struct {
	Directory string `arg:"" help:"Directory given to run as --out." type:"existingdir"`
	Format    string `help:"Format of the plots." enum:"svg,png" default:"svg"`
}

// Run implements the command.
func (c *reportCommand) Run(logger log.Interface) error {
	written, err := report.Draw(c.Directory, c.Format)
	for _, path := range written {
		logger.WithFields(log.Fields{"event": "report.plot", "file": path}).Info("")
	}
	return err
}
