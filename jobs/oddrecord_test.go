package jobs

import (
	"fmt"
	"strings"
	"testing"

	"github.com/pkg/errors"
)

// oddNumbers are numbers that no count, length or position may be.
var oddNumbers = []string{"-1", "-9223372036854775808", "1e400", "99999999999999999999", "1.5", `"1"`, "[1]"}

// TestOddBlobsAreRefused reads records of another writer that say that a payload stands where none
// can, or is longer than its records can hold: they must not be applied.
func TestOddBlobsAreRefused(t *testing.T) {
	var blobs []string
	for _, n := range append(oddNumbers, "4611686018427387904", "9223372036854775807", "1099511627776") {
		blobs = append(blobs, `{"bytes":`+n+`,"segments":[{"offset":1,"keys":["k"]}]}`)
	}
	for _, n := range oddNumbers {
		blobs = append(blobs, `{"bytes":1,"segments":[{"offset":`+n+`,"keys":["k"]}]}`)
	}
	blobs = append(blobs, `{"bytes":1,"segments":[{"offset":1,"keys":[]}]}`, `{"bytes":1,"segments":[{"offset":1}]}`, `{"bytes":1}`,
		`{"bytes":0,"segments":[{"keys":[]}]}`, `{"bytes":1,"segments":`+strings.Repeat("[", 20_000)+strings.Repeat("]", 20_000)+`}`)
	for _, blob := range blobs {
		for _, format := range []string{
			`{"job":"j","result":{"item":0,"output":%s}}`, `{"job":"j","partial":{"item":0,"events":1,"output":%s}}`,
			`{"job":"j","submit":{"items":[{"id":"i"}],"inputs":[{"first":0,"count":1,"blob":%s}]}}`,
		} {
			if r, err := DecodeRecord(fmt.Appendf(nil, format, blob)); !errors.Is(err, ErrMalformed) {
				t.Errorf("%.100s in %.30s: record %+v, error %v", blob, format, r, err)
			}
		}
	}
}

// TestOddRecordsAreNotApplied applies records with odd numbers: what they say must not reach the
// state, nor end the process.
func TestOddRecordsAreNotApplied(t *testing.T) {
	s := NewState()
	apply := func(offset int64, text string) {
		r, err := DecodeRecord([]byte(text))
		if err != nil {
			if !errors.Is(err, ErrMalformed) {
				t.Errorf("%s: %v", text, err)
			}
			return
		}
		s.Apply(offset, fmt.Sprint(offset), r)
	}
	apply(1, `{"job":"j","submit":{"attempt":"a","route":"r","tokens":10,"items":[{"id":"i","tokens":10}],"inputs":[{"first":0,"count":1,"inline":"eA=="}]}}`)
	offset := int64(2)
	for _, n := range append(oddNumbers, "4611686018427387904", "9223372036854775807", "7") {
		for _, format := range []string{
			`{"job":"j","result":{"item":%s}}`, `{"job":"j","failure":{"item":%s,"run":"x"}}`, `{"job":"j","partial":{"item":%s,"events":1}}`,
			`{"job":"j","partial":{"item":0,"events":-1}}`,
			`{"job":"k","submit":{"attempt":"b","route":"r","tokens":-1,"items":[{"id":"i","tokens":%s}]}}`,
			`{"job":"k","submit":{"attempt":"b","route":"r","tokens":%s}}`,
			`{"job":"k","submit":{"attempt":"b","route":"r","items":[{"id":"i"}],"inputs":[{"first":%s,"count":1,"inline":"eA=="}]}}`,
			`{"job":"k","submit":{"attempt":"b","route":"r","items":[{"id":"i"}],"inputs":[{"first":0,"count":%s,"inline":"eA=="}]}}`,
		} {
			text := format
			if strings.Contains(format, "%s") {
				text = fmt.Sprintf(format, n)
			}
			apply(offset, text)
			offset++
			if job := s.Job("k"); job != nil {
				for i := range job.Items() {
					job.Input(i)
				}
				s.ApplyDeletion(s.Next(), job.acceptedKey)
			}
			if got := s.Waiting("", "r"); got != 10 {
				t.Fatalf("%s: %d tokens wait on the route, want 10", text, got)
			}
		}
	}
	job := s.Job("j")
	if job.Ended(0) || job.Failures(0) != 0 || job.Partial(0) != nil {
		t.Errorf("the item has ended %t, %d failures, partial %+v", job.Ended(0), job.Failures(0), job.Partial(0))
	}
}
