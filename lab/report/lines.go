// Package report writes the results of an experiment as JSON lines and draws plots
// of them.
package report

import (
	"bufio"
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/apex/log"

	"sliphead/internal/fault"
	"sliphead/lab/experiment"
	"sliphead/lab/load"
)

// FileName is the name of the report file in the directory of a run.
const FileName = "report.jsonl"

// Line is one line of a report. Exactly one field is set.
type Line struct {
	Result    log.Fields               `json:"result,omitempty"` // the figures of the result line
	Violation string                   `json:"violation,omitempty"`
	Sample    *experiment.Sample       `json:"sample,omitempty"`
	Attempt   *load.Attempt            `json:"attempt,omitempty"`
	Phase     *experiment.PhaseFigures `json:"phase,omitempty"`
}

// Write writes the report of an outcome into a directory, which it creates if it
// does not exist.
func Write(directory string, outcome *experiment.Outcome) error {
	const remedy = "choose a directory that can be written"
	const ownerOnly = 0o700
	if err := os.MkdirAll(directory, ownerOnly); err != nil {
		return fault.Wrap(err, fault.Settings, remedy, "create %s", directory)
	}
	file, err := os.Create(filepath.Join(directory, FileName))
	if err != nil {
		return fault.Wrap(err, fault.Settings, remedy, "create the report")
	}
	defer file.Close()
	buffered := bufio.NewWriter(file)
	encoder := json.NewEncoder(buffered)
	for _, line := range reportLines(outcome) {
		if err := encoder.Encode(line); err != nil {
			return fault.Wrap(err, fault.Internal, "report this defect", "encode the report")
		}
	}
	return fault.Wrap(buffered.Flush(), fault.Settings, remedy, "write the report")
}

func reportLines(outcome *experiment.Outcome) []Line {
	lines := []Line{{Result: outcome.Fields()}}
	for _, violation := range outcome.Violations {
		lines = append(lines, Line{Violation: violation})
	}
	for index := range outcome.Samples {
		lines = append(lines, Line{Sample: &outcome.Samples[index]})
	}
	for index := range outcome.Attempts {
		lines = append(lines, Line{Attempt: &outcome.Attempts[index]})
	}
	for index := range outcome.Phases {
		lines = append(lines, Line{Phase: &outcome.Phases[index]})
	}
	return lines
}

// Read reads the report in the directory of a run.
func Read(directory string) ([]Line, error) {
	const remedy = "give the directory that a run wrote as --out"
	file, err := os.Open(filepath.Join(directory, FileName))
	if err != nil {
		return nil, fault.Wrap(err, fault.Settings, remedy, "open the report")
	}
	defer file.Close()
	var lines []Line
	decoder := json.NewDecoder(bufio.NewReader(file))
	for decoder.More() {
		var line Line
		if err := decoder.Decode(&line); err != nil {
			return nil, fault.Wrap(err, fault.Settings, remedy, "read the report")
		}
		lines = append(lines, line)
	}
	return lines, nil
}
