package recent

import "testing"

func TestSetEvictsTheOldest(t *testing.T) {
	s := NewSet(2)
	for _, v := range []string{"a", "b", "a", "c"} {
		s.Add(v)
	}
	for v, want := range map[string]bool{"a": false, "b": true, "c": true, "": false} {
		if s.Has(v) != want {
			t.Errorf("Has(%q) is %v", v, !want)
		}
	}
}
