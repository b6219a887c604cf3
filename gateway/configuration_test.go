package gateway

import (
	"bytes"
	"context"
	"encoding/base64"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/peridotmount/peridotmount/follow"
	"github.com/peridotmount/peridotmount/platform"
	"github.com/peridotmount/peridotmount/route"
)

// TestConfigurationLogHoldsNoKeys guards against keys in the log of a host that logs whole records.
func TestConfigurationLogHoldsNoKeys(t *testing.T) {
	var lines bytes.Buffer
	c := &configuration{logger: log.NewJSONLogger(&lines), started: &starting{}, adopted: func(*route.Configuration) {}}
	c.started.configuration, c.started.endpoints, c.started.convictions = c, &endpoints{}, newConvictions(log.NewNopLogger())
	const record = `{"version":4,"tenants":[{"name":"a","api_keys":["planted-key"]}]}`
	c.Changed(time.Now(), []platform.KeyedRecord{
		{Key: platform.KeyConfiguration, Value: []byte(record)},
		{Key: platform.KeyConfiguration, Offset: 1, Value: []byte(`{"version":5,"tenants":[{"name":"a","api_keys":"planted-key"}]}`)},
		{Key: platform.KeyConfiguration, Offset: 2, Value: []byte(`{"version":6,"tenants":[{"name":"a","api_keys":["planted-key"]]}`)},
	})
	if c.Current() == nil || c.Current().Version != 4 {
		t.Fatalf("configuration %+v", c.Current())
	}
	text := lines.String()
	for _, secret := range []string{"planted-key", base64.StdEncoding.EncodeToString([]byte("planted-key"))} {
		if strings.Contains(text, secret) {
			t.Errorf("the log holds a key: %s", text)
		}
	}
	for _, event := range []string{`"event":"configuration"`, `"event":"configuration_refused"`} {
		if !strings.Contains(text, event) {
			t.Errorf("the log lacks %s", event)
		}
	}
}

// TestConfigurationIsReadWithinTheBound guards against a host that refuses keys long before it has to,
// because it was cut off during a read that waits as long as those of other topics.
func TestConfigurationIsReadWithinTheBound(t *testing.T) {
	for bound, want := range map[time.Duration]time.Duration{
		0: followWait, time.Second: 100 * time.Millisecond, 5 * time.Second: 500 * time.Millisecond, time.Hour: followWait,
	} {
		got := configurationWait(bound)
		if got != want {
			t.Errorf("bound %s: reads wait %s, want %s", bound, got, want)
		}
	}
}

// TestBorrowedConfigurationConfirmsNothing starts a host while the store is away.
func TestBorrowedConfigurationConfirmsNothing(t *testing.T) {
	c := &configuration{logger: log.NewNopLogger(), adopted: func(*route.Configuration) {}}
	c.follower = follow.New(follow.Options{Topic: platform.TopicOperator, Handler: c, Logger: log.NewNopLogger()})
	if sent, reachable := c.Confirmed(); !sent.IsZero() || reachable {
		t.Errorf("confirmed at %s, reachable: %v", sent, reachable)
	}
	if err := c.Confirm(context.Background()); err == nil {
		t.Error("a configuration is confirmed that was never read")
	}
}
