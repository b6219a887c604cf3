package peers

import (
	"fmt"
	"strings"
	"testing"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/platform"
)

// TestOddHostRecordsNameNobody reads records of another writer in the list of hosts: each field with
// each odd value.
func TestOddHostRecordsNameNobody(t *testing.T) {
	deep := strings.Repeat("[", 50_000) + strings.Repeat("]", 50_000)
	record := func(field, value string) []byte {
		fields := map[string]string{"name": `"h"`, "incarnation": `"i"`, "address": `"http://10.0.0.1:80"`, "processor": "0.8", "joined": "1", "beat": "1"}
		fields[field] = value
		var parts []string
		for name, text := range fields {
			parts = append(parts, fmt.Sprintf("%q:%s", name, text))
		}
		return []byte("{" + strings.Join(parts, ",") + "}")
	}
	for field, values := range map[string][]string{
		"name":        {`"other"`, `""`, "1", "null", deep},
		"incarnation": {`""`, "1", "null", deep},
		"address": {`"http://10.0.0.1:0"`, `"http://10.0.0.1:99999"`, `"http://10.0.0.1:-1"`, `"http://10.0.0.1:http"`, `"http://"`, `""`, "1", "null", deep,
			`"http://10.0.0.1:80\r\nX: y"`, `"` + strings.Repeat("x", 200<<10) + `"`},
		"operators": {`"http://10.0.0.1:99999"`, "1", deep},
		"processor": {"-1", "1e400", "1e300", "5000", `"1"`, "[]", deep},
		"joined":    {"1e400", "99999999999999999999", "1.5", `"1"`, deep},
		"beat":      {"1e400", "99999999999999999999", "1.5", `"1"`, deep},
		"other":     {deep},
	} {
		for _, value := range values {
			if h, err := Decode(&platform.KeyedRecord{Key: "h", Offset: 7, Value: record(field, value)}); !errors.Is(err, ErrMalformed) {
				t.Errorf("%s %.60s: host %+v, error %v", field, value, h, err)
			}
		}
	}
	for _, text := range []string{"", "null", "[]", "1", "\xff\x00", deep} {
		if _, err := Decode(&platform.KeyedRecord{Key: "h", Value: []byte(text)}); !errors.Is(err, ErrMalformed) {
			t.Errorf("%.20q: %v", text, err)
		}
	}
	if _, err := Decode(&platform.KeyedRecord{Key: "h", Value: record("zone", `"z"`)}); err != nil {
		t.Errorf("sound record: %v", err)
	}
}
