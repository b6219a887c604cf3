package settings

import (
	"strings"

	"github.com/peridotmount/peridotmount/inifile"
)

// environmentPrefix starts the names of the variables that override settings:
// PERIDOTMOUNT_LEDGER_POLL overrides ledger.poll.
const environmentPrefix = "PERIDOTMOUNT_"

// Source is where settings come from. A flag overrides the environment, which
// overrides the file.
type Source struct {
	// File names Data in errors.
	File string
	// Data is an INI file.
	Data []byte
	// Environment holds `NAME=value`, as os.Environ returns it. A variable that
	// is not named after a section of the settings is passed over, since the
	// prefix is also that of the operators' command line.
	Environment []string
	// Flags hold `section.key=value`.
	Flags []string
}

// override puts flags and environment in the place of the file's keys.
func (r *reader) override(source *Source) {
	for _, pair := range source.Environment {
		variable, value, _ := strings.Cut(pair, "=")
		name, found := settingOf(variable)
		if found {
			r.keys[name] = inifile.Key{Name: name, Value: value, Position: inifile.Position{File: variable}}
		}
	}
	for _, pair := range source.Flags {
		name, value, found := strings.Cut(pair, "=")
		place := inifile.Position{File: "--set " + name}
		if !found || !strings.Contains(name, ".") {
			r.faults = append(r.faults, place.File+": expected section.key=value")
			continue
		}
		r.keys[name] = inifile.Key{Name: name, Value: value, Position: place}
	}
}

// settingOf returns the name of the setting that a variable overrides.
func settingOf(variable string) (string, bool) {
	rest, found := strings.CutPrefix(variable, environmentPrefix)
	if !found {
		return "", false
	}
	section, key, found := strings.Cut(strings.ToLower(rest), "_")
	if !found || !isSection(section) {
		return "", false
	}
	return section + "." + key, true
}

func isSection(name string) bool {
	for _, k := range Keys() {
		if strings.HasPrefix(k.Name, name+".") {
			return true
		}
	}
	return false
}
