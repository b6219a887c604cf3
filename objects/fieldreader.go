package objects

import (
	"fmt"
	"strconv"
	"strings"
)

// fieldReader reads the fields of one object by name and reports faults to the
// compiler. wasRead marks the fields that were read, so that unknown ones are rejected.
type fieldReader struct {
	c       *compiler
	o       *Object
	wasRead []bool
}

func newFieldReader(c *compiler, o *Object) *fieldReader {
	return &fieldReader{c: c, o: o, wasRead: make([]bool, len(o.Fields))}
}

func (r *fieldReader) text(name string) string {
	value := ""
	seen := false
	for i := range r.o.Fields {
		if r.o.Fields[i].Name != name {
			continue
		}
		if seen {
			r.c.addFault(r.o, name, name+" is given twice")
		}
		r.wasRead[i] = true
		seen = true
		value = r.o.Fields[i].Value
	}
	return value
}

func (r *fieldReader) list(name string) []string {
	text := r.text(name)
	if text == "" {
		return nil
	}
	parts := strings.Split(text, ",")
	seen := make(map[string]bool, len(parts))
	for i := range parts {
		parts[i] = strings.TrimSpace(parts[i])
		switch {
		case parts[i] == "":
			r.c.addFault(r.o, name, name+" holds an empty entry")
		case seen[parts[i]]:
			r.c.addFault(r.o, name, name+" holds "+parts[i]+" twice")
		}
		seen[parts[i]] = true
	}
	return parts
}

// zones reads a list of availability zone names.
func (r *fieldReader) zones(name string) []string {
	zones := r.list(name)
	for _, z := range zones {
		if z != "" && !validName(z) {
			r.c.addFault(r.o, name, z+" is not the name of an availability zone")
		}
	}
	return zones
}

func (r *fieldReader) number(name string, low, high, defaultValue int) int {
	text := r.text(name)
	if text == "" {
		return defaultValue
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < low || n > high {
		r.c.addFault(r.o, name, fmt.Sprintf("%s = %s is not a whole number from %d to %d", name, text, low, high))
		return defaultValue
	}
	return n
}

func (r *fieldReader) boolean(name string, defaultValue bool) bool {
	switch text := r.text(name); text {
	case "":
		return defaultValue
	case "yes":
		return true
	case "no":
		return false
	default:
		r.c.addFault(r.o, name, fmt.Sprintf("%s = %s is neither yes nor no", name, text))
		return defaultValue
	}
}

func (r *fieldReader) required(name string) string {
	text := r.text(name)
	if text == "" {
		r.c.addFault(r.o, name, name+" is missing")
	}
	return text
}

func (r *fieldReader) rejectUnread() {
	for i := range r.o.Fields {
		if !r.wasRead[i] {
			r.c.addFault(r.o, r.o.Fields[i].Name, "unknown key "+r.o.Fields[i].Name)
		}
	}
}
