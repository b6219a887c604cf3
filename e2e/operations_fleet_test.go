package e2e

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	fleetfile "github.com/peridotmount/peridotmount/fleet"
)

// localFleet is a fleet that scripts/fleet runs in a folder of the test.
type localFleet struct {
	t   *testing.T
	dir string
}

func newLocalFleet(t *testing.T, flags ...string) *localFleet {
	t.Helper()
	f := &localFleet{t: t, dir: filepath.Join(t.TempDir(), "fleet")}
	t.Cleanup(func() { f.run("down") })
	f.run(append([]string{"up"}, flags...)...)
	return f
}

// attempt runs scripts/fleet and returns what it wrote.
func (f *localFleet) attempt(args ...string) (string, error) {
	cmd := exec.Command("../scripts/fleet", args...)
	cmd.Env = append(os.Environ(), "FLEET_DIR="+f.dir, "FLEET_BIN="+binaries)
	out, err := cmd.CombinedOutput()
	return string(out), err
}

// run is attempt for a call that has to succeed.
func (f *localFleet) run(args ...string) string {
	f.t.Helper()
	out, err := f.attempt(args...)
	if err != nil {
		f.t.Fatalf("fleet %v: %v\n%s", args, err, out)
	}
	return out
}

func (f *localFleet) read() *fleetfile.File {
	f.t.Helper()
	file, err := fleetfile.Read(filepath.Join(f.dir, "fleet.json"))
	if err != nil {
		f.t.Fatal(err)
	}
	return file
}

// state returns the state that the script shows of a process.
func (f *localFleet) state(name string) string {
	f.t.Helper()
	for _, line := range strings.Split(f.run("status"), "\n") {
		if fields := strings.Fields(line); len(fields) > 4 && fields[0] == name {
			return fields[4]
		}
	}
	return ""
}

func (f *localFleet) expect(name, state string) {
	f.t.Helper()
	if got := f.state(name); got != state {
		f.t.Errorf("%s is %q, want %q", name, got, state)
	}
}

// alive reports whether a process runs; one that ended and waits for its parent
// to take note does not.
func alive(pid int) bool {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	return err == nil && !strings.Contains(string(stat), ") Z ")
}

func TestFleetScript(t *testing.T) {
	f := newLocalFleet(t, "--size", "ajloun", "--hosts", "3", "--engines", "2", "--plain", "1")
	file := f.read()
	if len(file.Role(fleetfile.RoleSystem)) != 3 || len(file.Role(fleetfile.RoleEngine)) != 2 || len(file.Role(fleetfile.RolePlain)) != 1 {
		t.Fatalf("processes: %+v", file.Processes)
	}
	f.run("freeze", "host-1")
	eventually(t, "freeze", func() bool { return f.state("host-1") == "frozen" })
	f.run("thaw", "host-1")
	eventually(t, "thaw", func() bool { return f.state("host-1") == "running" })
	f.run("kill", "engine-0")
	eventually(t, "kill", func() bool { return f.state("engine-0") == "ended" })
	f.run("start", "engine-0")
	f.expect("engine-0", "running")
	if engine := f.read().Role(fleetfile.RoleEngine)[0]; engine.Incarnation != 2 {
		t.Errorf("engine started again: %+v", engine)
	}
	f.run("down")
	for _, p := range file.Processes {
		if alive(p.PID) {
			t.Errorf("%s (%d) outlived the fleet", p.Name, p.PID)
		}
	}
}

// TestFleetScriptLeavesForeignProcesses gives the pid of a fleet's process to
// a process that the script didn't start.
func TestFleetScriptLeavesForeignProcesses(t *testing.T) {
	f := newLocalFleet(t, "--hosts", "1", "--engines", "1", "--plain", "1", "--no-publish")
	foreign := exec.Command("sleep", "600")
	if err := foreign.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = foreign.Process.Kill()
		_ = foreign.Wait()
	})
	pidFile := filepath.Join(f.dir, "run", "engine-0.pid")
	own, err := os.ReadFile(pidFile)
	if err != nil {
		t.Fatal(err)
	}
	var pid, started int64
	if _, err := fmt.Sscan(string(own), &pid, &started); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(pidFile, fmt.Appendf(nil, "%d %d\n", foreign.Process.Pid, started), 0o600); err != nil {
		t.Fatal(err)
	}
	if out, err := f.attempt("kill", "engine-0"); err == nil {
		t.Errorf("a foreign process was signalled: %s", out)
	}
	f.run("down")
	if !alive(foreign.Process.Pid) {
		t.Error("foreign process has ended")
	}
	_ = syscall.Kill(int(pid), syscall.SIGKILL)
}
