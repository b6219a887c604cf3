package slots

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/peridotmount/peridotmount/scheduler"
)

// TestSchedulerIsHeardWhileAHelloIsRead opens a session whose hello is on its way for longer
// than schedulerTimeout, as that of a host with many open items may be. The scheduler sends
// heartbeats meanwhile, or the host would take it for silent and open the session again.
func TestSchedulerIsHeardWhileAHelloIsRead(t *testing.T) {
	local := newTestScheduler(t, nil)
	local.SetEndpoints([]scheduler.Endpoint{{ID: "e", Service: "s", Slots: 8}})
	host := serveSessions(t, "first", local)
	body, pipe := io.Pipe()
	req, err := http.NewRequest(http.MethodPost, host.Address+SessionPath, body)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+host.Token)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close(); _ = pipe.Close() }()
	hello, err := json.Marshal(HostMessage{Hello: &scheduler.Hello{Host: "self"}})
	if err != nil {
		t.Fatal(err)
	}
	half := len(hello) / 2
	if _, err := pipe.Write(hello[:half]); err != nil {
		t.Fatal(err)
	}
	lines := bufio.NewScanner(resp.Body)
	for range 2 {
		if !lines.Scan() {
			t.Fatalf("the scheduler sent nothing before the whole hello had arrived: %v", lines.Err())
		}
	}
	acquire, err := json.Marshal(HostMessage{Acquire: &scheduler.SlotRequest{Ticket: "t", Service: "s", Left: time.Minute}})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := fmt.Fprintf(pipe, "%s\n%s\n", hello[half:], acquire); err != nil {
		t.Fatal(err)
	}
	for lines.Scan() {
		var m SchedulerMessage
		if err := json.Unmarshal(lines.Bytes(), &m); err != nil {
			t.Fatal(err)
		}
		if m.Grant != nil {
			return
		}
	}
	t.Errorf("the session ended without a slot: %v", lines.Err())
}
