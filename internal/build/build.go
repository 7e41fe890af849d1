// Package build tells from which sources the running program was built.
package build

import (
	"debug/elf"
	"encoding/binary"
	"io"
	"os"
	"runtime/debug"

	"github.com/prometheus/client_golang/prometheus"

	"sliphead/internal/logging"
)

// Info identifies a build. What the build did not record is unknown.
type Info struct {
	Version   string // of the main module: a tag or a pseudo-version, "(devel)" for a build without version control
	Revision  string // commit of the sources
	Modified  string // "true" or "false": whether the sources differed from that commit
	GoVersion string // of the compiler
	ID        string // build ID of the executable: it differs between two builds of different sources
}

const unknown = "unknown"

// Read returns what identifies the running program.
func Read() Info {
	info := Info{Version: unknown, Revision: unknown, Modified: unknown, GoVersion: unknown, ID: executableID()}
	if recorded, found := debug.ReadBuildInfo(); found {
		info.read(recorded)
	}
	return info
}

// read takes over what the compiler recorded.
func (i *Info) read(recorded *debug.BuildInfo) {
	i.GoVersion = recorded.GoVersion
	if recorded.Main.Version != "" {
		i.Version = recorded.Main.Version
	}
	for _, setting := range recorded.Settings {
		switch setting.Key {
		case "vcs.revision":
			i.Revision = setting.Value
		case "vcs.modified":
			i.Modified = setting.Value
		}
	}
}

// Fields returns the fields that identify the build on a line of the log.
func (i Info) Fields() logging.Fields {
	return logging.Fields{"version": i.Version, "revision": i.Revision, "modified": i.Modified, "build": i.ID}
}

// Metric returns the gauge that carries the build in its labels. Its value is always 1.
func (i Info) Metric() prometheus.Collector {
	gauge := prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "sliphead_build_info",
		Help: "Always 1; the labels identify the build of the process.",
		ConstLabels: prometheus.Labels{
			"version": i.Version, "revision": i.Revision, "modified": i.Modified, "goversion": i.GoVersion, "build": i.ID,
		},
	})
	gauge.Set(1)
	return gauge
}

// executableID returns the build ID of the running executable, unknown if it has none.
func executableID() string {
	path, err := os.Executable()
	if err != nil {
		return unknown // the platform does not tell the path of the executable
	}
	file, err := elf.Open(path)
	if err != nil {
		return unknown // not an ELF executable, or removed since the start
	}
	defer func() { _ = file.Close() }()
	return idOf(file)
}

// idSection is the section in which the Go linker records the build ID.
const idSection = ".note.go.buildid"

// idOf returns the build ID of an ELF file, unknown if it has none.
func idOf(file *elf.File) string {
	section := file.Section(idSection)
	if section == nil {
		return unknown
	}
	return noteDescription(section.Open(), file.ByteOrder)
}

// noteDescription returns the description of an ELF note: its header holds the lengths of the name
// and of the description, and the type; each part is padded to words.
func noteDescription(note io.Reader, order binary.ByteOrder) string {
	const wordBytes = 4
	var header struct{ NameBytes, DescriptionBytes, Type uint32 }
	if binary.Read(note, order, &header) != nil {
		return unknown
	}
	paddedName := int64(header.NameBytes+wordBytes-1) / wordBytes * wordBytes
	if _, err := io.CopyN(io.Discard, note, paddedName); err != nil {
		return unknown
	}
	description, err := io.ReadAll(io.LimitReader(note, int64(header.DescriptionBytes)))
	if err != nil || len(description) == 0 {
		return unknown
	}
	return string(description)
}
