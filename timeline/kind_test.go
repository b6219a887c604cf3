package timeline

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

// kindText is the form of a kind.
var kindText = regexp.MustCompile(`^[a-z]+(-[a-z]+)*$`)

// parseTree parses the module's files that are not tests.
func parseTree(t *testing.T) map[string]*ast.File {
	t.Helper()
	files := make(map[string]*ast.File)
	set := token.NewFileSet()
	err := filepath.WalkDir("..", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		files[filepath.ToSlash(path)], err = parser.ParseFile(set, path, nil, 0)
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return files
}

// literal returns the text of a string literal.
func literal(e ast.Expr) (string, bool) {
	basic, ok := e.(*ast.BasicLit)
	if !ok || basic.Kind != token.STRING {
		return "", false
	}
	text, err := strconv.Unquote(basic.Value)
	return text, err == nil
}

// declaredKinds returns the names of the constants in kind.go by their values.
func declaredKinds(f *ast.File) map[string]string {
	kinds := make(map[string]string)
	ast.Inspect(f, func(n ast.Node) bool {
		if v, ok := n.(*ast.ValueSpec); ok && len(v.Values) == 1 {
			if text, ok := literal(v.Values[0]); ok {
				kinds[text] = v.Names[0].Name
			}
		}
		return true
	})
	return kinds
}

// recordedKinds returns the literals that are given as a kind: in an Event, to
// a function or method named record, or to a variable named kind.
func recordedKinds(f *ast.File) []string {
	var kinds []string
	events := importsTimeline(f)
	ast.Inspect(f, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.CompositeLit:
			kinds = append(kinds, kindOfEvent(n)...)
		case *ast.CallExpr:
			kinds = append(kinds, kindOfCall(n)...)
		case *ast.AssignStmt:
			if events {
				kinds = append(kinds, kindOfAssignment(n)...)
			}
		}
		return true
	})
	return kinds
}

// importsTimeline reports whether a file uses this package.
func importsTimeline(f *ast.File) bool {
	for _, i := range f.Imports {
		if strings.HasSuffix(i.Path.Value, `/timeline"`) {
			return true
		}
	}
	return false
}

func kindOfAssignment(a *ast.AssignStmt) []string {
	if len(a.Lhs) != 1 || len(a.Rhs) != 1 {
		return nil
	}
	name, _ := a.Lhs[0].(*ast.Ident)
	if text, found := literal(a.Rhs[0]); found && name != nil && name.Name == "kind" {
		return []string{text}
	}
	return nil
}

func kindOfEvent(c *ast.CompositeLit) []string {
	selector, ok := c.Type.(*ast.SelectorExpr)
	if !ok || selector.Sel.Name != "Event" {
		return nil
	}
	for _, e := range c.Elts {
		pair, ok := e.(*ast.KeyValueExpr)
		if !ok {
			continue
		}
		key, _ := pair.Key.(*ast.Ident)
		if key == nil || key.Name != "Kind" {
			continue
		}
		if text, found := literal(pair.Value); found {
			return []string{text}
		}
		// A kind that is put together can't be declared.
		if _, joined := pair.Value.(*ast.BinaryExpr); joined {
			return []string{"a joined text"}
		}
	}
	return nil
}

func kindOfCall(c *ast.CallExpr) []string {
	selector, ok := c.Fun.(*ast.SelectorExpr)
	if !ok || selector.Sel.Name != "record" {
		return nil
	}
	for _, argument := range c.Args {
		if text, found := literal(argument); found && kindText.MatchString(text) {
			return []string{text}
		}
	}
	return nil
}

func TestEveryRecordedKindIsDeclared(t *testing.T) {
	files := parseTree(t)
	declared := declaredKinds(files["../timeline/kind.go"])
	if len(declared) == 0 {
		t.Fatal("no kinds are declared")
	}
	for path, f := range files {
		for _, kind := range recordedKinds(f) {
			if declared[kind] == "" {
				t.Errorf("%s records %q: declare it in timeline/kind.go", path, kind)
			}
		}
	}
}

// TestEveryDeclaredKindIsRecorded looks for each kind as a literal or by the
// name of its constant.
func TestEveryDeclaredKindIsRecorded(t *testing.T) {
	files := parseTree(t)
	unused := make(map[string]string)
	for kind, name := range declaredKinds(files["../timeline/kind.go"]) {
		unused[name] = kind
	}
	for path, f := range files {
		if path == "../timeline/kind.go" {
			continue
		}
		recorded := recordedKinds(f)
		ast.Inspect(f, func(n ast.Node) bool {
			if id, ok := n.(*ast.Ident); ok {
				delete(unused, id.Name)
			}
			return true
		})
		for name, kind := range unused {
			for _, r := range recorded {
				if r == kind {
					delete(unused, name)
				}
			}
		}
	}
	for name := range unused {
		t.Errorf("nothing records %s: take it out of timeline/kind.go", name)
	}
}
