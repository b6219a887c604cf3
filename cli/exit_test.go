package cli

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
)

// execute runs a command and returns its output and its exit code.
func execute(cmd *cobra.Command, args ...string) (string, int) {
	var out bytes.Buffer
	cmd.SetOut(&out)
	cmd.SetErr(&out)
	cmd.SetArgs(args)
	err := cmd.Execute()
	if err != nil {
		out.WriteString(err.Error())
	}
	return out.String(), ExitCode(err)
}

func TestCheckSettings(t *testing.T) {
	file := filepath.Join(t.TempDir(), "d.ini")
	text := "[host]\nname = a\nzone = z\nregion = r\n[listen]\ncallers = 127.0.0.1:1\noperators = 127.0.0.1:2\n" +
		"peers = 127.0.0.1:3\nsecret = s\n[platform]\nstore = 127.0.0.1:4\n"
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	out, code := execute(NewDaemon(), "--settings", file, "--check-settings")
	if code != 0 || !strings.Contains(out, "settings are valid") {
		t.Errorf("exit code %d: %s", code, out)
	}
	out, code = execute(NewDaemon(), "--settings", file, "--check-settings", "--set", "ledger.poll=5", "--set", "host.colour=red")
	if code != ExitInvalid || !strings.Contains(out, "ledger.poll") || !strings.Contains(out, "host.colour") {
		t.Errorf("exit code %d: %s", code, out)
	}
}

// TestEveryCommandHasHelp holds that each of the operators' commands has an
// example, and that the flags of the environment say so.
func TestEveryCommandHasHelp(t *testing.T) {
	for _, c := range NewOperator().Commands() {
		if c.Example == "" || c.Short == "" {
			t.Errorf("%s has no example", c.Name())
		}
	}
	out, _ := execute(NewOperator(), "--help")
	for _, want := range []string{"PERIDOTMOUNT_STORE", "PERIDOTMOUNT_SECRET", "Exit codes:"} {
		if !strings.Contains(out, want) {
			t.Errorf("%s is not in the help", want)
		}
	}
}

func TestCompletion(t *testing.T) {
	for _, shell := range []string{"bash", "zsh", "fish"} {
		if out, code := execute(NewOperator(), "completion", shell); code != 0 || !strings.Contains(out, "peridotmount") {
			t.Errorf("%s: exit code %d", shell, code)
		}
	}
}

func TestFlagsOverrideEnvironment(t *testing.T) {
	t.Setenv("PERIDOTMOUNT_TIMEOUT", "soon")
	if out, code := execute(NewOperator(), "version"); code != ExitUsage || !strings.Contains(out, "PERIDOTMOUNT_TIMEOUT") {
		t.Errorf("exit code %d: %s", code, out)
	}
	if out, code := execute(NewOperator(), "version", "--timeout", "1s"); code != 0 {
		t.Errorf("exit code %d: %s", code, out)
	}
}

func TestExitCodes(t *testing.T) {
	for _, c := range []struct {
		err  error
		code int
	}{
		{nil, 0},
		{errors.New("other"), ExitFailure},
		{errors.Wrap(ErrInvalid, "x"), ExitInvalid},
		{errors.Wrap(ErrConflict, "x"), ExitConflict},
		{errors.Wrap(ErrTimeout, "x"), ExitTimeout},
		{errors.Wrap(ErrPartial, "x"), ExitPartial},
		{ErrConfiguration, ExitInvalid},
		{ErrWarnings, ExitFailure},
		{errors.Wrap(ErrUnreadable, "x"), ExitUnreadable},
		{errors.Wrap(ErrUsage, "x"), ExitUsage},
	} {
		if got := ExitCode(c.err); got != c.code {
			t.Errorf("%v: %d, want %d", c.err, got, c.code)
		}
	}
}
