package e2e

import (
	"bytes"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/peridotmount/peridotmount/platform"
	"github.com/peridotmount/peridotmount/route"
	"github.com/peridotmount/peridotmount/standin"
)

// Keys that the test plants. None of them may appear in anything that a process emits.
const (
	keyAcme    = "planted-acme-1d81c0f2"
	keyTwo     = "planted-acme-second-77a0"
	keyBeta    = "planted-beta-5bd3e9aa"
	keyLater   = "planted-later-90c4417b"
	keyUnknown = "planted-unknown-e2a86f03"
	keyOfItem  = "planted-item-3f56d1c8"
)

var plantedKeys = []string{keyAcme, keyTwo, keyBeta, keyLater, keyUnknown, keyOfItem}

// revocationBound is keys.revocation of the hosts.
const revocationBound = 2 * time.Second

// keyedFleet is a fleet whose configuration has workspaces, and whose hosts reach one another through
// proxies that keep what goes through.
type keyedFleet struct {
	*routedFleet
	passed *passedBytes
	// cut is a host with a link of its own to the store, to the other hosts and to the endpoints.
	cut       *gateway
	storeLink *soakProxy
	links     []*hostLink

	mu sync.Mutex
	// taps are the proxies to the hosts by the addresses that stand in records: those of the cut host, and
	// those of the others.
	taps map[bool]map[string]*soakProxy
	// linked maps the addresses of endpoints to those of the links of the cut host.
	linked map[string]string
}

func newKeyedFleet(t *testing.T) *keyedFleet {
	t.Helper()
	f := &keyedFleet{
		routedFleet: &routedFleet{t: t, store: standin.NewStore(standin.StoreFaults{})}, passed: &passedBytes{},
		taps: map[bool]map[string]*soakProxy{false: {}, true: {}}, linked: make(map[string]string),
	}
	f.hostSettings, f.settings = "log_level = debug", fmt.Sprintf("[keys]\nrevocation = %s", revocationBound)
	f.seeds = func() []string {
		var out []string
		for _, address := range f.controls {
			out = append(out, f.tap(false, address))
		}
		return out
	}
	for i := range 2 {
		f.engines = append(f.engines, f.replica(fmt.Sprintf("engine-%d", i), "engines", 20))
		f.plain = append(f.plain, f.replica(fmt.Sprintf("plain-%d", i), "plain", 0))
	}
	for i, r := range append(f.engines[:2:2], f.plain...) {
		link := newHostLink(t, r.Address(), net.IPv4(127, 0, 2, byte(i+1)))
		f.links, f.linked[r.Address()] = append(f.links, link), link.address
	}
	f.publish(1, map[string][]string{"acme": {keyAcme, keyTwo}, "beta": {keyBeta}})
	f.storeAddress = f.serve(f.store.View(f.viewOf(false)))
	f.storeLink = newSoakProxy(t, f.serve(f.store.View(f.viewOf(true))))
	for i := range 2 {
		f.gateways = append(f.gateways, f.newGateway(fmt.Sprintf("host-%d", i), f.storeAddress))
	}
	f.cut = f.newGateway("cut", f.storeLink.address())
	f.gateways = append(f.gateways, f.cut)
	f.awaitReady(f.gateways...)
	for _, g := range f.gateways {
		eventually(t, g.name+" knows the ledger", func() bool {
			return f.call(g, http.MethodGet, "/lots/none", "", keyAcme, nil).status == http.StatusNotFound
		})
	}
	// A host that has read of no other one finds none to relay its calls.
	eventually(t, "the cut host knows the others", func() bool {
		text, err := os.ReadFile(f.cut.log.Name())
		return err == nil && bytes.Contains(text, []byte(`"hosts":3`))
	})
	return f
}

// publish publishes a configuration with the keys of workspaces.
func (f *keyedFleet) publish(version int, keys map[string][]string) {
	var tenants []string
	for name, list := range keys {
		tenants = append(tenants, fmt.Sprintf(`{"name":%q,"api_keys":["%s"]}`, name, strings.Join(list, `","`)))
	}
	text := fmt.Sprintf(routedConfiguration, version, routedQuota,
		`,{"name":"open","host":"ficu95.example","path_prefix":"/open/","kind":"safe","timeout_ms":20000,"service":"plain","max_attempts":2,"public":true}`)
	text = strings.Replace(text, `"limits":`, `"tenants":[`+strings.Join(tenants, ",")+`],"limits":`, 1)
	f.store.Put(platform.TopicOperator.Name, platform.KeyConfiguration, []byte(text))
}

// tap returns the address of the proxy to an address of a host.
func (f *keyedFleet) tap(ofCut bool, address string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.taps[ofCut][address]
	if p == nil {
		p = newSoakProxy(f.t, address)
		p.mu.Lock()
		p.passed = f.passed
		p.mu.Unlock()
		f.taps[ofCut][address] = p
	}
	return p.address()
}

// viewOf returns how records are changed for the cut host, or for the others.
func (f *keyedFleet) viewOf(ofCut bool) func(topic, key string, value []byte) []byte {
	return func(topic, _ string, value []byte) []byte {
		const before = `"address":"http://`
		switch topic {
		case platform.TopicHosts.Name:
			at := bytes.Index(value, []byte(before))
			if at < 0 {
				return value
			}
			rest := value[at+len(before):]
			address, _, _ := strings.Cut(string(rest), `"`)
			return bytes.Replace(value, []byte(before+address), []byte(before+f.tap(ofCut, address)), 1)
		case platform.TopicEndpoints.Name:
			for address, link := range f.linked {
				if ofCut {
					value = bytes.ReplaceAll(value, []byte(address), []byte(link))
				}
			}
		}
		return value
	}
}

// isolate cuts one host off from the store, and the hosts from one another, or ends that. The cut
// host may know the addresses that the others use, from answers that they relayed.
func (f *keyedFleet) isolate(state wire) {
	f.storeLink.set(state)
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, taps := range f.taps {
		for _, p := range taps {
			p.set(state)
		}
	}
}

// call sends a request with a key, and a workspace that its client made up.
func (f *keyedFleet) call(g *gateway, method, path, id, key string, body []byte) reply {
	header := map[string]string{"X-Tenant": "made-up"}
	if key != "" {
		header["X-Credential"] = key
	}
	return g.sendWith(method, path, id, body, header)
}

// expect sends a request until it gets a status.
func (f *keyedFleet) expect(g *gateway, path, id, key string, status int) {
	f.t.Helper()
	last := 0
	eventually(f.t, fmt.Sprintf("%s: status %d for %s", g.name, status, id), func() bool {
		last = f.call(g, http.MethodPost, path, id, key, nil).status
		return last == status
	})
}

// runsOf returns the headers with which a request reached an endpoint.
func (f *keyedFleet) runsOf(id string) []http.Header {
	var out []http.Header
	for _, r := range append(f.engines[:2:2], f.plain...) {
		for _, run := range r.Runs() {
			if run.Request == id {
				out = append(out, run.Header)
			}
		}
	}
	return out
}

// checkRuns checks in whose name a request ran.
func (f *keyedFleet) checkRuns(id, workspace string) {
	f.t.Helper()
	runs := f.runsOf(id)
	if len(runs) == 0 {
		f.t.Errorf("%s did not run", id)
	}
	for _, h := range runs {
		if strings.Join(h.Values("X-Tenant"), ",") != workspace || h.Values("X-Credential") != nil {
			f.t.Errorf("%s ran with %v, want the workspace %q", id, h, workspace)
		}
	}
}

// formsOf returns what a key looks like in text, and within what is base64 or hex.
func formsOf(key string) []string {
	out := []string{key, hex.EncodeToString([]byte(key))}
	for shift := range 3 {
		for _, encoding := range []*base64.Encoding{base64.RawStdEncoding, base64.RawURLEncoding} {
			text := encoding.EncodeToString(append(bytes.Repeat([]byte("."), shift), key...))
			// The characters at the edges depend on the neighbours of the key.
			out = append(out, text[4:len(text)-4])
		}
	}
	return out
}

// search looks for the planted keys.
func (f *keyedFleet) search(where string, data []byte) {
	f.t.Helper()
	for _, key := range plantedKeys {
		for _, form := range formsOf(key) {
			if at := bytes.Index(data, []byte(form)); at >= 0 {
				f.t.Errorf("%s holds the key %s: %s", where, key, data[max(0, at-300):min(len(data), at+100)])
				return
			}
		}
	}
}

// get reads a page of a host.
func (f *keyedFleet) get(url string) []byte {
	f.t.Helper()
	resp, err := http.Get(url)
	if err != nil {
		f.t.Errorf("%s: %v", url, err)
		return nil
	}
	defer func() { _ = resp.Body.Close() }()
	var out bytes.Buffer
	_, _ = out.ReadFrom(resp.Body)
	return out.Bytes()
}

// TestRoutesWorkspaceKeys serves workspaces with several hosts, of which one loses the store, then the other
// hosts too, and one starts while the store is away. Requests and jobs run in the name of their
// workspace, a key that was taken away does not run beyond its bound, and no key appears in anything that a
// process emits: log, metrics, headers at endpoints, messages between hosts and the views that they
// serve to hosts that start.
func TestRoutesWorkspaceKeys(t *testing.T) {
	f := newKeyedFleet(t)
	for _, g := range f.gateways {
		f.checkKeys(g)
	}
	f.checkJobs()
	f.checkRelayed()
	f.checkDetour()
	f.checkRevoked()
	late := f.checkLateHost()
	f.checkNothingLeaks(late)
}

// checkKeys sends requests with keys of all kinds.
func (f *keyedFleet) checkKeys(g *gateway) {
	f.t.Helper()
	for _, x := range []struct {
		id, path, key string
		status        int
		workspace     string
	}{
		{"plain", "/check/", keyAcme, http.StatusOK, "acme"},
		{"second", "/check/", keyTwo, http.StatusOK, "acme"},
		{"stream", "/stream/", keyBeta, http.StatusOK, "beta"},
		{"public", "/open/", keyUnknown, http.StatusOK, ""},
		{"unknown", "/check/", keyUnknown, http.StatusUnauthorized, ""},
		{"none", "/stream/", "", http.StatusUnauthorized, ""},
	} {
		id := g.name + "-" + x.id
		if r := f.call(g, http.MethodPost, x.path, id, x.key, []byte("body")); r.status != x.status {
			f.t.Errorf("%s: status %d, want %d: %s", id, r.status, x.status, r.body)
		}
		if x.status == http.StatusOK {
			f.checkRuns(id, x.workspace)
		} else if n := len(f.runsOf(id)); n > 0 {
			f.t.Errorf("%s ran %d times", id, n)
		}
	}
}

// checkJobs hands a job in at one host and calls on it at another one.
func (f *keyedFleet) checkJobs() {
	f.t.Helper()
	body := bytes.ReplaceAll(job("j", 4), []byte(`"headers":{`), []byte(`"headers":{"X-Tenant":"made-up","x-credential":"`+keyOfItem+`",`))
	for range 2 {
		if r := f.call(f.gateways[0], http.MethodPost, "/lots-in/j", "j", keyAcme, body); r.status != http.StatusAccepted {
			f.t.Fatalf("submission: status %d: %s", r.status, r.body)
		}
	}
	for _, g := range f.gateways {
		unknown := f.call(g, http.MethodGet, "/lots/none", "", keyBeta, nil)
		for _, x := range []struct {
			method, path, key string
			status            int
		}{
			{http.MethodGet, "/lots/j", keyTwo, http.StatusOK}, {http.MethodGet, "/items/j?id=j-1", keyTwo, http.StatusOK},
			{http.MethodGet, "/lots/j", keyBeta, http.StatusNotFound}, {http.MethodDelete, "/lots/j", keyBeta, http.StatusNotFound},
			{http.MethodGet, "/lots/j", keyUnknown, http.StatusUnauthorized}, {http.MethodDelete, "/lots/j", "", http.StatusUnauthorized},
		} {
			r := f.call(g, x.method, x.path, "", x.key, nil)
			if r.status != x.status || x.status == http.StatusNotFound && !bytes.Equal(r.body, unknown.body) {
				f.t.Errorf("%s: %s %s: status %d, want %d: %s", g.name, x.method, x.path, r.status, x.status, r.body)
			}
		}
	}
	eventually(f.t, "results of the job", func() bool {
		return strings.Count(string(f.call(f.gateways[1], http.MethodGet, "/lots/j", "", keyTwo, nil).body), `"state":"done"`) == 4
	})
	for i := range 4 {
		f.checkRuns(fmt.Sprintf("j-%d", i), "acme")
	}
}

// checkRelayed takes the store away from one host, which reads a configuration with a new key and
// without an old one through the others.
func (f *keyedFleet) checkRelayed() {
	f.t.Helper()
	f.storeLink.set(wireCut)
	f.publish(2, map[string][]string{"acme": {keyAcme}, "beta": {keyBeta}, "later": {keyLater}})
	f.expect(f.cut, "/check/", "relayed-later", keyLater, http.StatusOK)
	f.checkRuns("relayed-later", "later")
	f.expect(f.cut, "/check/", "relayed-revoked", keyTwo, http.StatusUnauthorized)
	f.storeLink.set(wireOpen)
}

// checkDetour takes the endpoints away from one host, whose calls are made by the others.
func (f *keyedFleet) checkDetour() {
	f.t.Helper()
	for _, link := range f.links {
		link.cut(cutRefuse)
	}
	eventually(f.t, "a call is made by another host", func() bool {
		f.call(f.cut, http.MethodPost, "/stream/", "detour-stream", keyBeta, nil)
		return f.call(f.cut, http.MethodPost, "/check/", "detour", keyBeta, nil).status == http.StatusOK
	})
	f.checkRuns("detour", "beta")
	for _, link := range f.links {
		link.heal()
	}
	f.expect(f.cut, "/check/", "detour-over", keyBeta, http.StatusOK)
}

// checkRevoked takes a key away while a host reaches neither the store nor the other hosts.
func (f *keyedFleet) checkRevoked() {
	f.t.Helper()
	f.isolate(wireHeld)
	f.expect(f.cut, "/check/", "held", keyLater, http.StatusOK)
	f.publish(3, map[string][]string{"acme": {keyAcme}, "beta": {keyBeta}})
	acknowledged := time.Now()
	refused := 0
	for n := 0; refused < 3; n++ {
		sent := time.Now()
		r := f.call(f.cut, http.MethodPost, "/check/", fmt.Sprintf("revoked-%d", n), keyLater, nil)
		switch {
		case r.status == http.StatusOK && sent.Sub(acknowledged) > revocationBound:
			f.t.Errorf("a request sent %s after its key was taken away ran", sent.Sub(acknowledged))
		case r.status == http.StatusServiceUnavailable:
			refused++
			if r.header.Get("Retry-After") == "" {
				f.t.Errorf("refusal without a time: %+v", r)
			}
		case r.status == http.StatusUnauthorized:
			f.t.Fatal("a host that can't read the configuration refuses a key for good")
		}
		if sent.Sub(acknowledged) > patience {
			f.t.Fatal("a host that is cut off goes on to accept a key")
		}
		time.Sleep(20 * time.Millisecond)
	}
	if r := f.call(f.cut, http.MethodGet, "/lots/j", "", keyAcme, nil); r.status != http.StatusServiceUnavailable {
		f.t.Errorf("call on a job beyond the bound: status %d", r.status)
	}
	f.expect(f.cut, "/open/", "held-public", "", http.StatusOK)
	f.expect(f.gateways[0], "/check/", "revoked-elsewhere", keyLater, http.StatusUnauthorized)
	f.isolate(wireOpen)
	f.expect(f.cut, "/check/", "healed", keyAcme, http.StatusOK)
	f.expect(f.cut, "/check/", "healed-revoked", keyLater, http.StatusUnauthorized)
}

// checkLateHost starts a host while the store is away, and returns it.
func (f *keyedFleet) checkLateHost() *gateway {
	f.t.Helper()
	f.store.SetFaults(standin.StoreFaults{Outage: standin.OutageBusy})
	late := f.newGateway("late", f.storeAddress)
	f.expect(late, "/open/", "late-public", "", http.StatusOK)
	for id, key := range map[string]string{"late-known": keyAcme, "late-unknown": keyUnknown} {
		if r := f.call(late, http.MethodPost, "/check/", id, key, nil); r.status != http.StatusServiceUnavailable || r.header.Get("Retry-After") == "" {
			f.t.Errorf("%s: a host that has confirmed nothing answers %d", id, r.status)
		}
	}
	if r := f.call(late, http.MethodPost, "/check/", "late-none", "", nil); r.status != http.StatusUnauthorized {
		f.t.Errorf("no key: a host that has confirmed nothing answers %d", r.status)
	}
	f.store.SetFaults(standin.StoreFaults{})
	f.expect(late, "/check/", "late-after", keyAcme, http.StatusOK)
	f.checkRuns("late-after", "acme")
	return late
}

// checkNothingLeaks searches all that the processes have emitted.
func (f *keyedFleet) checkNothingLeaks(late *gateway) {
	f.t.Helper()
	for _, g := range append(f.gateways[:3:3], late) {
		f.search("the metrics of "+g.name, f.get(strings.TrimSuffix(g.ready, "/ready")+"/metrics"))
	}
	hash := route.HashKey(keyAcme)
	for _, address := range f.controls {
		view := f.get("http://" + address + "/picture?topic=" + platform.TopicOperator.Name)
		f.search("the view at "+address, view)
		if !bytes.Contains(view, []byte(`"value":"`)) {
			f.t.Errorf("the view at %s holds nothing: %s", address, view)
		}
	}
	for _, g := range append(f.gateways[:3:3], late) {
		g.stop()
		text, err := os.ReadFile(g.log.Name())
		if err != nil {
			f.t.Fatal(err)
		}
		f.search("the log of "+g.name, text)
		if !bytes.Contains(text, []byte(base64.RawStdEncoding.EncodeToString(hash[:]))) || !bytes.Contains(text, []byte(`"event":"configuration"`)) {
			f.t.Errorf("the log of %s has no line with the whole configuration", g.name)
		}
	}
	for _, r := range append(f.engines[:2:2], f.plain...) {
		for _, run := range r.Runs() {
			f.search("the headers of a run at "+r.ID, fmt.Append(nil, run.Header))
		}
	}
	messages, calls := 0, ""
	for _, stream := range f.passed.all() {
		f.search("a message between hosts", stream)
		messages += len(stream)
		for _, path := range []string{"/store/log-", "/picture?topic=keyed.op", "/endpoints/call"} {
			if bytes.Contains(stream, []byte(path)) && !strings.Contains(calls, path) {
				calls += path + " "
			}
		}
	}
	f.t.Logf("%d bytes between hosts, calls %s", messages, calls)
	if len(strings.Fields(calls)) < 3 {
		f.t.Errorf("only calls of %q went between hosts", calls)
	}
}
