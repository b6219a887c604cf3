package tlsfiles

import (
	"bytes"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// watched is a set of files whose contents are looked at now and then.
type watched struct {
	paths    []string
	interval time.Duration
	now      func() time.Time

	mu       sync.Mutex
	looked   time.Time
	contents [][]byte
}

// newWatched reads the files for the first time.
func newWatched(interval time.Duration, now func() time.Time, paths ...string) (*watched, error) {
	w := &watched{paths: paths, interval: interval, now: now, looked: now()}
	var err error
	w.contents, err = w.read()
	return w, err
}

func (w *watched) read() ([][]byte, error) {
	contents := make([][]byte, len(w.paths))
	for i, path := range w.paths {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, errors.Wrap(ErrFiles, err.Error())
		}
		contents[i] = data
	}
	return contents, nil
}

// look hands the contents to use if the files changed since they were last
// used, and the interval since the last look is over. After an error
// of use the same contents are used again at the next look, so that the error
// is told for as long as it lasts.
func (w *watched) look(use func([][]byte) error) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	if now.Sub(w.looked) < w.interval {
		return nil
	}
	w.looked = now
	contents, err := w.read()
	if err != nil {
		return err
	}
	if equal(contents, w.contents) {
		return nil
	}
	if err := use(contents); err != nil {
		return err
	}
	w.contents = contents
	return nil
}

func equal(a, b [][]byte) bool {
	for i := range a {
		if !bytes.Equal(a[i], b[i]) {
			return false
		}
	}
	return true
}
