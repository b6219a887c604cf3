package load

import (
	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/fleet"
)

// Fleet tells where the processes of a fleet listen.
type Fleet struct {
	// Callers are the base URLs of the daemons' callers' listeners.
	Callers []string
	// Operators are the base URLs of their operators' listeners.
	Operators []string
	// Engines are the base URLs of the model engines.
	Engines []string
}

// ReadFleet reads the file that scripts/fleet writes.
func ReadFleet(path string) (*Fleet, error) {
	file, err := fleet.Read(path)
	if err != nil {
		return nil, errors.Wrap(err, "read fleet")
	}
	f := &Fleet{}
	for _, p := range file.Role(fleet.RoleSystem) {
		f.Callers = append(f.Callers, p.CallersAddress)
		f.Operators = append(f.Operators, p.OperatorAddress)
	}
	for _, p := range file.Role(fleet.RoleEngine) {
		f.Engines = append(f.Engines, p.Address)
	}
	if len(f.Callers) == 0 || len(f.Engines) == 0 {
		return nil, errors.Errorf("%s names no daemons or no engines", path)
	}
	return f, nil
}
