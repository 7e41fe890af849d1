package declaration

import (
	"archive/zip"
	"bytes"
	_ "embed"
	"io"
	"sync"
	"time"

	"sliphead/internal/fault"
)

// zoneinfo is the IANA time zone database as the Go distribution packs it
// (lib/time/zoneinfo.zip). It is embedded, and no other copy is ever read:
// time.LoadLocation prefers the host's database, also when time/tzdata is
// linked in, so two hosts could reach different verdicts on one version.
//
//go:embed zoneinfo.zip
var zoneinfo []byte

// zoneFiles opens the embedded database once. Its map is never written again.
var zoneFiles = sync.OnceValues(func() (map[string]*zip.File, error) {
	reader, err := zip.NewReader(bytes.NewReader(zoneinfo), int64(len(zoneinfo)))
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "build again from a clean checkout", "open the embedded time zone database")
	}
	files := make(map[string]*zip.File, len(reader.File))
	for _, file := range reader.File {
		if !file.FileInfo().IsDir() {
			files[file.Name] = file
		}
	}
	return files, nil
})

// locations caches the loaded time zones: string to *time.Location. It holds at
// most as many entries as the embedded database.
var locations sync.Map

// LoadLocation returns the time zone of an IANA name from the database that is
// part of the program. The names "" and "Local" are refused.
func LoadLocation(name string) (*time.Location, error) {
	if cached, found := locations.Load(name); found {
		return cached.(*time.Location), nil
	}
	files, err := zoneFiles()
	if err != nil {
		return nil, err
	}
	file, found := files[name]
	if !found {
		return nil, fault.New(fault.Declaration, remedyTimeZone, "unknown time zone %q", name)
	}
	data, err := readAll(file)
	if err != nil {
		return nil, err
	}
	location, err := time.LoadLocationFromTZData(name, data)
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "build again from a clean checkout", "decode time zone %q", name)
	}
	kept, _ := locations.LoadOrStore(name, location) // one pointer a name, so that schedules compare
	return kept.(*time.Location), nil
}

func readAll(file *zip.File) ([]byte, error) {
	content, err := file.Open()
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "build again from a clean checkout", "open time zone %q", file.Name)
	}
	defer content.Close()
	data, err := io.ReadAll(content)
	return data, fault.Wrap(err, fault.Internal, "build again from a clean checkout", "read time zone %q", file.Name)
}
