package objects

import (
	"sort"
	"strings"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/inifile"
)

// Parse parses the objects of one file. It checks the syntax only; Compile validates
// the fields and references.
func Parse(file string, data []byte) ([]Object, error) {
	sections, err := inifile.Parse(file, data)
	if err != nil {
		return nil, errors.Wrap(err, "parse objects")
	}
	list := make([]Object, 0, len(sections))
	for i := range sections {
		o, err := fromSection(&sections[i])
		if err != nil {
			return nil, err
		}
		list = append(list, o)
	}
	return list, nil
}

func fromSection(s *inifile.Section) (Object, error) {
	kind, name, found := strings.Cut(s.Title, " ")
	if !found {
		return Object{}, errors.Errorf("%s: [%s]: expected `[kind name]`", s.Position, s.Title)
	}
	o := Object{Ref: Ref{Kind: Kind(kind), Name: strings.TrimSpace(name)}, Position: s.Position}
	for _, k := range s.Keys {
		o.Fields = append(o.Fields, Field{Name: k.Name, Value: k.Value, Line: k.Line})
	}
	return o, nil
}

// Sort sorts objects by kind, then by name. The sort is stable.
func Sort(list []Object) {
	sort.SliceStable(list, func(i, j int) bool {
		if list[i].Kind != list[j].Kind {
			return list[i].Kind < list[j].Kind
		}
		return list[i].Name < list[j].Name
	})
}
