package cli

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"flag"
	"fmt"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/peridotmount/peridotmount/platform"
	"github.com/peridotmount/peridotmount/standin"
)

// updateGolden writes the outputs that tests expect anew: go test ./cli -run Golden -update-golden
var updateGolden = flag.Bool("update-golden", false, "write the expected outputs anew")

const (
	currentFile = "testdata/current.json"
	nextFile    = "testdata/next.json"
)

// written writes text to a file and returns its path.
func written(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "configuration.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func readText(t *testing.T, path string) string {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// TestRoutesConfigurationGolden holds both forms of the output, which scripts and operators read.
func TestRoutesConfigurationGolden(t *testing.T) {
	for golden, args := range map[string][]string{
		"configuration.txt":            {nextFile},
		"configuration-compared.txt":   {nextFile, "--in-force", currentFile},
		"configuration-compared.json":  {nextFile, "--in-force", currentFile, "-o", "json"},
		"configuration-unchanged.json": {currentFile, "--in-force", currentFile, "-o", "json"},
	} {
		t.Run(golden, func(t *testing.T) {
			out, _ := operate(t, append([]string{"routes", "configuration"}, args...)...)
			path := filepath.Join("testdata", golden)
			if *updateGolden {
				if err := os.WriteFile(path, []byte(out), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			if want := readText(t, path); out != want {
				t.Errorf("output:\n%s\nwant:\n%s", out, want)
			}
		})
	}
}

// TestRoutesConfigurationExitCodes guards scripts that publish only after a check.
func TestRoutesConfigurationExitCodes(t *testing.T) {
	warned := written(t, testConfiguration)
	rising := written(t, strings.Replace(readText(t, currentFile), `"version":7`, `"version":8`, 1))
	for _, x := range []struct {
		args []string
		code int
	}{
		{[]string{currentFile}, 0},
		{[]string{currentFile, "--strict"}, 0},
		{[]string{warned}, 0},
		{[]string{warned, "--strict"}, ExitFailure},
		{[]string{nextFile}, ExitInvalid},
		{[]string{nextFile, "--strict"}, ExitInvalid},
		{[]string{written(t, "{")}, ExitInvalid},
		{[]string{rising, "--in-force", currentFile}, 0},
		{[]string{currentFile, "--in-force", rising}, ExitInvalid},
		{[]string{filepath.Join(t.TempDir(), "none")}, ExitUnreadable},
		{[]string{currentFile, "--in-force", filepath.Join(t.TempDir(), "none")}, ExitUnreadable},
		{[]string{currentFile, "--in-force", written(t, "{")}, ExitUnreadable},
		{[]string{currentFile, "--in-force", currentFile, "--published"}, ExitUsage},
		{[]string{currentFile, "--published"}, ExitUsage},
		{[]string{"-", "--in-force", "-"}, ExitUsage},
		{nil, ExitUsage},
	} {
		if out, code := execute(NewOperator(), append([]string{"routes", "configuration"}, x.args...)...); code != x.code {
			t.Errorf("%v: exit code %d, want %d:\n%s", x.args, code, x.code, out)
		}
	}
}

func TestRoutesConfigurationReadsStandardInput(t *testing.T) {
	root := NewOperator()
	root.SetIn(strings.NewReader(readText(t, currentFile)))
	if out, code := execute(root, "routes", "configuration", "-"); code != 0 || !strings.Contains(out, "version 7: 0 errors") {
		t.Errorf("exit code %d: %s", code, out)
	}
}

// TestRoutesConfigurationInTheStore compares with what is published.
func TestRoutesConfigurationInTheStore(t *testing.T) {
	store := standin.NewStore(standin.StoreFaults{})
	server := httptest.NewServer(store.Handler())
	defer server.Close()
	args := []string{"routes", "configuration", nextFile, "--published", "--store", server.Listener.Addr().String()}
	if out, code := execute(NewOperator(), args...); code != ExitUnreadable {
		t.Errorf("without a configuration in the store: exit code %d: %s", code, out)
	}
	store.Put(platform.TopicOperator.Name, platform.KeyConfiguration, []byte(readText(t, currentFile)))
	out, code := execute(NewOperator(), args...)
	if code != ExitInvalid {
		t.Errorf("exit code %d", code)
	}
	expectLine(t, out, "removed", `workspace "bolt"`)
}

// TestRoutesConfigurationShowsNoKey plants keys where the command reads them, also in records
// that can't be decoded, and looks for them and their hashes in all outputs.
func TestRoutesConfigurationShowsNoKey(t *testing.T) {
	next := readText(t, nextFile)
	texts := []string{
		next,
		strings.Replace(next, `"planted-key-1"`, `"planted-key-1`, 1),
		strings.Replace(next, `["planted-key-1","planted-key-3"]`, `"planted-key-1"`, 1),
		strings.Replace(next, `"api_keys":["planted-key-1","planted-key-3"]`, `"api_key_hashes":["planted-key-1"]`, 1),
		strings.Replace(next, `"planted-key-1"`, `5`, 1),
		strings.Replace(next, `"planted-key-1"`, `planted-key-1`, 1),
		next + `"planted-key-1"`,
		strings.Replace(next, `"burst":5`, `"burst":"planted-key-1"`, 1),
		strings.Replace(next, `"burst":5`, `"priority":"planted-key-1"`, 1),
	}
	for i, text := range texts {
		file := written(t, text)
		for _, args := range [][]string{
			{file}, {file, "-o", "json"}, {file, "--in-force", currentFile}, {file, "--in-force", currentFile, "-o", "json"},
			{currentFile, "--in-force", file}, {currentFile, "--in-force", file, "-o", "json"},
		} {
			out, _ := execute(NewOperator(), append([]string{"routes", "configuration"}, args...)...)
			expectNoKeys(t, fmt.Sprintf("text %d, %v", i, args), out)
		}
	}
}

func expectNoKeys(t *testing.T, what, out string) {
	t.Helper()
	if strings.Contains(out, "planted") {
		t.Errorf("%s: a key is shown:\n%s", what, out)
	}
	for _, key := range []string{"planted-key-1", "planted-key-2", "planted-key-3", "planted key 4"} {
		h := sha256.Sum256([]byte(key))
		for _, form := range []string{hex.EncodeToString(h[:]), base64.RawStdEncoding.EncodeToString(h[:]), fmt.Sprint(h)} {
			if strings.Contains(out, form) {
				t.Errorf("%s: the hash of a key is shown:\n%s", what, out)
			}
		}
	}
}
