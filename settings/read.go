package settings

import (
	"fmt"
	"os"
	"sort"
	"strings"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/inifile"
)

// ErrInvalid means that settings have faults; the error's text names them all,
// one a line.
var ErrInvalid = errors.New("settings are not valid")

// Parse reads the settings in an INI file. The error is ErrInvalid.
func Parse(file string, data []byte) (*Settings, error) {
	return Load(&Source{File: file, Data: data})
}

// Load reads settings. The error is ErrInvalid.
func Load(source *Source) (*Settings, error) {
	r := newReader(source)
	s := r.settings()
	checkTogether(r, s)
	r.refuseUnread()
	if len(r.faults) > 0 {
		return nil, errors.Wrap(ErrInvalid, strings.Join(r.faults, "\n"))
	}
	return s, nil
}

// reader reads settings and gathers what is wrong with them.
type reader struct {
	// keys are those given and not read yet.
	keys     map[string]inifile.Key
	faults   []string
	asked    []Key
	readFile func(string) ([]byte, error)
}

func newReader(source *Source) *reader {
	r := &reader{keys: make(map[string]inifile.Key), readFile: os.ReadFile}
	sections, err := inifile.Parse(source.File, source.Data)
	if err != nil {
		r.faults = append(r.faults, err.Error())
	}
	for i := range sections {
		r.index(&sections[i])
	}
	r.override(source)
	return r
}

func (r *reader) index(s *inifile.Section) {
	for _, k := range s.Keys {
		name := s.Title + "." + k.Name
		if _, found := r.keys[name]; found {
			r.fault(k, name+" is given twice")
			continue
		}
		r.keys[name] = k
	}
}

func (r *reader) fault(k inifile.Key, reason string) {
	r.faults = append(r.faults, placeOf(k)+": "+reason)
}

// placeOf names where a key was given; what is not a file has no lines.
func placeOf(k inifile.Key) string {
	if k.Line == 0 {
		return k.File
	}
	return k.Position.String()
}

// require notes a fault between settings unless it holds.
func (r *reader) require(holds bool, reason string) {
	if !holds {
		r.faults = append(r.faults, reason)
	}
}

func (r *reader) settings() *Settings {
	return &Settings{
		Host:        readHost(r),
		Listen:      readListen(r),
		Platform:    readPlatform(r),
		Ledger:      readLedger(r),
		Gossip:      readGossip(r),
		Membership:  readMembership(r),
		Publication: readPublication(r),
		Orders:      readOrders(r),
		Dispatch:    readDispatch(r),
		Admission:   readAdmission(r),
		Timeline:    readTimeline(r),
		TLS:         readTLS(r),
	}
}

func (r *reader) refuseUnread() {
	var unknown []string
	for name, k := range r.keys {
		unknown = append(unknown, fmt.Sprintf("%s: unknown key %s", placeOf(k), name))
	}
	sort.Strings(unknown)
	r.faults = append(r.faults, unknown...)
}
