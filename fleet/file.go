package fleet

import (
	"encoding/json"
	"os"

	"github.com/pkg/errors"
)

// DefaultPath is where scripts/fleet writes the file, seen from the root of
// the repository.
const DefaultPath = ".fleet/fleet.json"

// File describes a running fleet. Its form is
//
//	{
//	  "size": "hronec",
//	  "objects": "examples/hronec",
//	  "secret": "...",
//	  "authority": "",
//	  "customers": [{"name": "shop-floor", "key": "shop-floor-key"}],
//	  "processes": [
//	    {"name": "host-0", "role": "system", "zone": "sk-central-a",
//	     "region": "sk-central", "address": "http://127.0.0.1:20001",
//	     "operator_address": "http://127.0.0.1:20002",
//	     "callers_address": "http://127.0.0.1:20003",
//	     "service": "", "slots": 0, "incarnation": 1, "pid": 4711}
//	  ]
//	}
//
// Addresses are base URLs; those that a process doesn't have are "".
type File struct {
	// Size is hronec or ajloun.
	Size string `json:"size"`
	// Objects is the directory of the objects made for that size.
	Objects string `json:"objects"`
	// Secret is the bearer token of operators and the system's own processes.
	Secret string `json:"secret"`
	// Authority is the file of the authority that signed the certificates of the
	// hosts' listeners; "" means that they speak plain HTTP.
	Authority string `json:"authority"`
	// Customers are those of Objects, with their keys.
	Customers []Customer `json:"customers"`
	Processes []Process  `json:"processes"`
}

// Read reads the file at path.
func Read(path string) (*File, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read fleet")
	}
	f := new(File)
	if err := json.Unmarshal(data, f); err != nil {
		return nil, errors.Wrapf(err, "decode %s", path)
	}
	return f, nil
}

// Role returns the processes of a role.
func (f *File) Role(role Role) []Process {
	var out []Process
	for _, p := range f.Processes {
		if p.Role == role {
			out = append(out, p)
		}
	}
	return out
}

// Address returns the address of the first process of a role, or "".
func (f *File) Address(role Role) string {
	for _, p := range f.Processes {
		if p.Role == role {
			return p.Address
		}
	}
	return ""
}
