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

// zoneinfo is the IANA time zone database as packaged by the Go distribution
// (lib/time/zoneinfo.zip). Only this embedded copy is used: time.LoadLocation
// prefers the host's database even when time/tzdata is linked in, so two hosts
// could validate or evaluate the same version differently.
//
//go:embed zoneinfo.zip
var zoneinfo []byte

// openZoneinfo opens the embedded database on the first call and returns its files by
// name. The map must not be modified.
var openZoneinfo = sync.OnceValues(func() (map[string]*zip.File, error) {
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

// locations caches loaded time zones: string to *time.Location. It cannot grow
// beyond the number of entries in the embedded database.
var locations sync.Map

// LoadLocation returns the time zone with an IANA name from the embedded database,
// the same pointer on each call. It rejects the names "" and "Local". It is safe
// for concurrent use.
func LoadLocation(name string) (*time.Location, error) {
	if cached, found := locations.Load(name); found {
		return cached.(*time.Location), nil
	}
	files, err := openZoneinfo()
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
	stored, _ := locations.LoadOrStore(name, location) // one pointer per name, so that equal schedules compare equal
	return stored.(*time.Location), nil
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
