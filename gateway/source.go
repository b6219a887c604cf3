package gateway

import (
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/settings"
)

// Source is where a host's settings come from.
type Source struct {
	// File is an INI file, Flags hold section.key=value.
	File  string
	Flags []string
}

// Load reads the settings.
func (s Source) Load() (*settings.Gateway, error) {
	data, err := os.ReadFile(s.File)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	return settings.LoadGateway(&settings.Source{File: s.File, Data: data, Flags: s.Flags})
}

// changed returns when the file was written last, zero if it is not there.
func (s Source) changed() time.Time {
	info, err := os.Stat(s.File)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
