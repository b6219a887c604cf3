package e2e

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// process is one command that a test started.
type process struct {
	name string
	cmd  *exec.Cmd
	log  *os.File
	done chan struct{}
	// began is when it was started.
	began time.Time
	// keepsLog has its log kept though the test passes.
	keepsLog bool
}

// start runs a built command until the test ends; its log is printed if the
// test fails.
func start(t *testing.T, name, command string, args ...string) *process {
	t.Helper()
	log, err := os.Create(filepath.Join(t.TempDir(), name+".log"))
	if err != nil {
		t.Fatal(err)
	}
	p := &process{name: name, log: log, done: make(chan struct{}), began: time.Now()}
	p.cmd = exec.Command(filepath.Join(folderOf(command), command), args...)
	p.cmd.Stdout = log
	p.cmd.Stderr = log
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = p.cmd.Wait()
		close(p.done)
	}()
	t.Cleanup(func() { p.cleanup(t) })
	return p
}

// daemonsStarted counts the daemons that this process has started.
var daemonsStarted atomic.Int64

// folderOf returns the folder of a command. OLD_BINARIES names that of another build, from which every
// other daemon comes: hosts are replaced one after the other, so both builds serve side by side. With
// OLD_HOSTS=all all of them come from it.
func folderOf(command string) string {
	old := os.Getenv("OLD_BINARIES")
	if old == "" || command != "peridotmountd" {
		return binaries
	}
	if os.Getenv("OLD_HOSTS") == "all" || daemonsStarted.Add(1)%2 == 0 {
		return old
	}
	return binaries
}

func (p *process) cleanup(t *testing.T) {
	p.kill()
	if t.Failed() {
		data, _ := os.ReadFile(p.log.Name())
		t.Logf("log of %s:\n%s", p.name, tail(data))
		p.keep(t, data)
	} else if p.keepsLog {
		data, _ := os.ReadFile(p.log.Name())
		p.keep(t, data)
	}
	_ = p.log.Close()
}

// keep writes a log to the folder that TEST_LOGS names, if any.
func (p *process) keep(t *testing.T, data []byte) {
	dir := os.Getenv("TEST_LOGS")
	if dir == "" {
		return
	}
	name := fmt.Sprintf("%s-%s-%d.log", strings.ReplaceAll(t.Name(), "/", "-"), p.name, p.cmd.Process.Pid)
	if err := os.WriteFile(filepath.Join(dir, name), data, 0o600); err != nil {
		t.Error(err)
	}
}

const tailBytes = 4000

func tail(data []byte) []byte {
	if len(data) > tailBytes {
		return data[len(data)-tailBytes:]
	}
	return data
}

func (p *process) signal(s syscall.Signal) {
	_ = p.cmd.Process.Signal(s)
}

func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// stop asks the process to end and waits for it.
func (p *process) stop() {
	p.signal(syscall.SIGTERM)
	<-p.done
}

func (p *process) freeze() { p.signal(syscall.SIGSTOP) }
func (p *process) thaw()   { p.signal(syscall.SIGCONT) }
