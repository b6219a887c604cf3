package objects

import "github.com/peridotmount/peridotmount/inifile"

// Ref identifies an object by kind and name.
type Ref struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// String returns `kind name`.
func (r Ref) String() string {
	return string(r.Kind) + " " + r.Name
}

// Field is one setting of an object, as written in its source.
type Field struct {
	Name  string `json:"name"`
	Value string `json:"value"`
	// Line is the line number in the object's file, or 0 if unknown.
	Line int `json:"line,omitempty"`
}

// Object is one object as written in its source. Sets are published in this form.
type Object struct {
	Ref
	Fields   []Field          `json:"fields"`
	Position inifile.Position `json:"position"`
}

// fieldPosition returns the position of a field, or the object's own if the field is
// absent or its line unknown.
func (o *Object) fieldPosition(name string) inifile.Position {
	for _, f := range o.Fields {
		if f.Name == name && f.Line > 0 {
			return inifile.Position{File: o.Position.File, Line: f.Line}
		}
	}
	return o.Position
}

// Equal reports whether o and p have the same identity and the same fields in the
// same order, regardless of their positions.
func (o *Object) Equal(p *Object) bool {
	if o.Ref != p.Ref || len(o.Fields) != len(p.Fields) {
		return false
	}
	for i := range o.Fields {
		if o.Fields[i].Name != p.Fields[i].Name || o.Fields[i].Value != p.Fields[i].Value {
			return false
		}
	}
	return true
}
