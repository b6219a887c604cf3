package cli

import (
	"go/ast"
	"go/parser"
	"go/token"
	"regexp"
	"strconv"
	"testing"
)

var documentedCode = regexp.MustCompile("(?m)^\\| `([a-z_]+)` \\| [0-9]{3} \\|")

// entryCodes returns the error codes that the entry declares.
func entryCodes(t *testing.T) map[string]bool {
	t.Helper()
	f, err := parser.ParseFile(token.NewFileSet(), "../entry/apierror.go", nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	codes := make(map[string]bool)
	ast.Inspect(f, func(n ast.Node) bool {
		v, ok := n.(*ast.ValueSpec)
		if !ok {
			return true
		}
		kind, ok := v.Type.(*ast.Ident)
		if !ok || kind.Name != "Code" || len(v.Values) != 1 {
			return true
		}
		if value, ok := v.Values[0].(*ast.BasicLit); ok {
			text, err := strconv.Unquote(value.Value)
			codes[text] = err == nil
		}
		return true
	})
	return codes
}

func TestErrorsPageNamesEveryCode(t *testing.T) {
	codes := entryCodes(t)
	if len(codes) == 0 {
		t.Fatal("no codes are declared")
	}
	documented := make(map[string]bool)
	for _, match := range documentedCode.FindAllStringSubmatch(readDocs(t)["ERRORS.md"], -1) {
		documented[match[1]] = true
		if !codes[match[1]] {
			t.Errorf("docs/ERRORS.md names the code %s, which there is not", match[1])
		}
	}
	for code := range codes {
		if !documented[code] {
			t.Errorf("docs/ERRORS.md lacks the code %s", code)
		}
	}
}
