package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/node"
	"github.com/peridotmount/peridotmount/platform"
	"github.com/peridotmount/peridotmount/standin"
)

const (
	secret = "e2e-secret"
	// shopKey and wholesaleKey belong to the customers of examples/hronec.
	shopKey      = "shop-floor-key"
	wholesaleKey = "wholesale-key"
	// patience bounds every wait of these tests.
	patience = 60 * time.Second
)

// endpoint is a stand-in that answers requests.
type endpoint struct {
	*process
	host platform.Host
}

// daemon is one peridotmountd.
type daemon struct {
	*process
	host    platform.Host
	callers string
	file    string
}

// fleet is a set of daemons, endpoints and platform stand-ins.
type fleet struct {
	t            *testing.T
	storeProcess *process
	// store is the address of the platform's stand-in, storeURL its base URL.
	store    string
	storeURL string
	daemons  []*daemon
	engines  []*endpoint
	plain    []*endpoint
}

// fleetOptions are the sizes of a fleet.
type fleetOptions struct {
	daemons    int
	engines    int
	engineArgs []string
	// settings is added to each daemon's settings file.
	settings string
}

func newFleet(t *testing.T, o fleetOptions) *fleet {
	t.Helper()
	f := &fleet{t: t}
	f.storeProcess, f.storeURL = f.standin("store")
	f.store = strings.TrimPrefix(f.storeURL, "http://")
	for i := range o.engines {
		f.addEngine(fmt.Sprintf("engine-%d", i), o.engineArgs...)
	}
	for _, service := range []string{"press-status", "invoices"} {
		f.addPlain("plain-"+service, service)
	}
	for i := range o.daemons {
		f.addDaemon(fmt.Sprintf("host-%d", i), o.settings)
	}
	f.publish("../examples/hronec")
	f.awaitReady()
	f.awaitLoaded(f.engines)
	f.awaitAgreement()
	return f
}

// awaitAgreement waits until all daemons know the same endpoints and homes: each
// reads the list of hosts by itself.
func (f *fleet) awaitAgreement() {
	f.t.Helper()
	eventually(f.t, "daemons agree", func() bool {
		var first []node.EndpointStatus
		for i, d := range f.daemons {
			var status node.Status
			f.call(http.MethodGet, d.host.OperatorAddress+"/operator/status?endpoints", nil, &status)
			if i == 0 {
				first = status.Endpoints
			}
			if len(status.Endpoints) != len(f.engines)+len(f.plain) || !slices.Equal(status.Endpoints, first) {
				return false
			}
		}
		return true
	})
}

func (f *fleet) standin(kind string, args ...string) (*process, string) {
	f.t.Helper()
	address := ownAddress(f.t)
	p := start(f.t, kind, "peridotmount-standin", append([]string{kind, "--listen", address}, args...)...)
	awaitListening(f.t, address)
	return p, "http://" + address
}

func (f *fleet) addEngine(name string, args ...string) *endpoint {
	p, url := f.standin("engine", append([]string{"--require-load"}, args...)...)
	e := &endpoint{process: p, host: platform.Host{
		Name: name, Role: platform.RoleEngine, State: platform.HostLive,
		Zone: zoneOf(len(f.engines)), Region: regionOf(len(f.engines)), Address: url, Incarnation: 1, Slots: 16,
	}}
	f.engines = append(f.engines, e)
	f.list(e.host)
	return e
}

func (f *fleet) addPlain(name, service string) *endpoint {
	p, url := f.standin("plain", "--name", name)
	e := &endpoint{process: p, host: platform.Host{
		Name: name, Role: platform.RolePlain, State: platform.HostLive,
		Zone: zoneOf(0), Region: regionOf(0), Address: url, Service: service, Incarnation: 1, Slots: 16,
	}}
	f.plain = append(f.plain, e)
	f.list(e.host)
	return e
}

var zones = []string{"sk-central-a", "sk-west-a", "cz-east-a"}

func zoneOf(i int) string   { return zones[i%len(zones)] }
func regionOf(i int) string { return zoneOf(i)[:len(zoneOf(i))-2] }

func (f *fleet) addDaemon(name, extra string) *daemon {
	f.t.Helper()
	i := len(f.daemons)
	callers, operators, peers := ownAddress(f.t), ownAddress(f.t), ownAddress(f.t)
	text := fmt.Sprintf(`[host]
name = %s
zone = %s
region = %s
[listen]
callers = %s
operators = %s
peers = %s
secret = %s
[platform]
store = %s
%s`, name, zoneOf(i), regionOf(i), callers, operators, peers, secret, f.store, extra)
	file := filepath.Join(f.t.TempDir(), name+".ini")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
	d := &daemon{callers: "http://" + callers, file: file, host: platform.Host{
		Name: name, Role: platform.RoleSystem, State: platform.HostLive, Zone: zoneOf(i), Region: regionOf(i),
		Address: "http://" + peers, OperatorAddress: "http://" + operators, Incarnation: 1,
	}}
	d.process = start(f.t, name, "peridotmountd", "--settings", file)
	f.daemons = append(f.daemons, d)
	return d
}

// list writes the record of an endpoint.
func (f *fleet) list(h platform.Host) {
	f.t.Helper()
	record, err := standin.EndpointRecord(h)
	if err != nil {
		f.t.Fatal(err)
	}
	f.call(http.MethodPut, f.storeURL+"/standin/keys/"+platform.TopicEndpoints.Name+"/"+h.Name, json.RawMessage(record), nil)
}

// unlist removes the record of a host or endpoint.
func (f *fleet) unlist(name string) {
	f.t.Helper()
	for _, topic := range []platform.Topic{platform.TopicHosts, platform.TopicEndpoints} {
		f.call(http.MethodDelete, f.storeURL+"/standin/keys/"+topic.Name+"/"+name, nil, nil)
	}
}

// storeFaults makes the platform's stand-in play faults.
func (f *fleet) storeFaults(s standin.StoreFaults) {
	f.t.Helper()
	f.call(http.MethodPut, f.storeURL+"/standin/faults", s, nil)
}

// horizon returns the first offset that a stream keeps, and its end.
func (f *fleet) horizon(stream string) (first, end int64) {
	f.t.Helper()
	log := platform.NewStoreLog(platform.NewStore(f.store, platform.StoreOptions{}))
	page, err := log.Read(context.Background(), stream, 0, 1)
	if err != nil && !errors.Is(err, platform.ErrTrimmed) {
		f.t.Fatal(err)
	}
	return page.Horizon, page.End
}

// call sends a JSON request to a stand-in or an operators' listener.
func (f *fleet) call(method, url string, in, out any) {
	f.t.Helper()
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			f.t.Fatal(err)
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequest(method, url, body)
	if err != nil {
		f.t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+secret)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		f.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusBadRequest {
		f.t.Fatalf("%s %s: status %d", method, url, resp.StatusCode)
	}
	if out != nil {
		if err := json.NewDecoder(resp.Body).Decode(out); err != nil {
			f.t.Fatal(err)
		}
	}
}

// publish publishes a directory with the operators' command line.
func (f *fleet) publish(dir string) {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	cmd := exec.CommandContext(ctx, filepath.Join(binaries, "peridotmount"),
		"publish", dir, "--store", f.store, "--wait", "30s")
	cmd.Env = append(os.Environ(), "PERIDOTMOUNT_SECRET="+secret)
	if out, err := cmd.CombinedOutput(); err != nil {
		f.t.Fatalf("publish: %v\n%s", err, out)
	}
}

func (f *fleet) awaitReady() {
	f.t.Helper()
	for _, d := range f.daemons {
		eventually(f.t, d.name+" ready", func() bool {
			resp, err := http.Get(d.host.OperatorAddress + "/readyz")
			if err != nil {
				return false
			}
			_ = resp.Body.Close()
			return resp.StatusCode == http.StatusOK
		})
	}
}

func awaitListening(t *testing.T, address string) {
	t.Helper()
	eventually(t, address+" listening", func() bool {
		resp, err := http.Get("http://" + address + "/")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return true
	})
}

// eventually waits until done, and fails the test when patience runs out.
func eventually(t *testing.T, what string, done func() bool) {
	t.Helper()
	deadline := time.Now().Add(patience)
	for !done() {
		if time.Now().After(deadline) {
			t.Fatalf("gave up waiting: %s", what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}
