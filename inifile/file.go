package inifile

import (
	"bufio"
	"bytes"
	"fmt"
	"strings"

	"github.com/pkg/errors"
)

// MaxLineBytes bounds one line of a file.
const MaxLineBytes = 64 << 10

// Position is a place in a file.
type Position struct {
	File string `json:"file,omitempty"`
	// Line counts from 1.
	Line int `json:"line,omitempty"`
}

// String returns file:line.
func (p Position) String() string {
	return fmt.Sprintf("%s:%d", p.File, p.Line)
}

// Key is one `name = value` line.
type Key struct {
	Name  string
	Value string
	Position
}

// Section is a `[kind name]` header with the keys below it.
type Section struct {
	// Title is the text between the brackets.
	Title string
	Keys  []Key
	Position
}

// Parse reads the sections of a file. The error names file and line.
func Parse(name string, data []byte) ([]Section, error) {
	var sections []Section
	scanner := bufio.NewScanner(bytes.NewReader(data))
	scanner.Buffer(make([]byte, 0, 4096), MaxLineBytes)
	pos := Position{File: name}
	for scanner.Scan() {
		pos.Line++
		var err error
		sections, err = appendLine(sections, scanner.Text(), pos)
		if err != nil {
			return nil, err
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, errors.Wrapf(err, "%s", Position{File: name, Line: pos.Line + 1})
	}
	return sections, nil
}

func appendLine(sections []Section, line string, pos Position) ([]Section, error) {
	text := strings.TrimSpace(line)
	switch {
	case text == "" || text[0] == '#' || text[0] == ';':
		return sections, nil
	case text[0] == '[':
		return appendSection(sections, text, pos)
	case len(sections) == 0:
		return nil, errors.Errorf("%s: key outside any section", pos)
	}
	name, value, found := strings.Cut(text, "=")
	name = strings.TrimSpace(name)
	if !found || name == "" {
		return nil, errors.Errorf("%s: expected `name = value`", pos)
	}
	last := &sections[len(sections)-1]
	last.Keys = append(last.Keys, Key{
		Name:     name,
		Value:    strings.TrimSpace(value),
		Position: pos,
	})
	return sections, nil
}

func appendSection(sections []Section, text string, pos Position) ([]Section, error) {
	if !strings.HasSuffix(text, "]") {
		return nil, errors.Errorf("%s: section header without `]`", pos)
	}
	title := strings.TrimSpace(text[1 : len(text)-1])
	if title == "" {
		return nil, errors.Errorf("%s: empty section header", pos)
	}
	return append(sections, Section{Title: title, Position: pos}), nil
}
