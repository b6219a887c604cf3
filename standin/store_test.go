package standin

import (
	"context"
	"net/http/httptest"
	"testing"

	"github.com/pkg/errors"

	"github.com/peridotmount/peridotmount/platform"
)

func startLog(t *testing.T, f StoreFaults) platform.Log {
	t.Helper()
	return platform.NewStoreLog(startStore(t, NewStore(f)))
}

// startStore serves a store and returns a client of it.
func startStore(t *testing.T, s *Store) *platform.Store {
	t.Helper()
	server := httptest.NewServer(s.Handler())
	t.Cleanup(server.Close)
	return platform.NewStore(server.Listener.Addr().String(), platform.StoreOptions{Transport: server.Client().Transport})
}

// count appends n records and returns how many the stream took.
func count(t *testing.T, l platform.Log, n int) (taken int64, errs []error) {
	t.Helper()
	for range n {
		if _, err := l.Append(context.Background(), "s", [][]byte{[]byte("x")}); err != nil {
			errs = append(errs, err)
		}
	}
	page, err := l.Read(context.Background(), "s", 1<<62, 1)
	if err != nil {
		t.Fatal(err)
	}
	return page.End, errs
}

func TestLogLosesAppendsWithoutEffect(t *testing.T) {
	taken, errs := count(t, startLog(t, StoreFaults{LoseAppends: 2}), 5)
	if taken != 3 || len(errs) != 2 || !errors.Is(errs[0], platform.ErrUnavailable) {
		t.Errorf("took %d, errors %v", taken, errs)
	}
}

func TestLogLosesAnswersAfterEffect(t *testing.T) {
	taken, errs := count(t, startLog(t, StoreFaults{LoseAnswers: 2}), 5)
	if taken != 5 || len(errs) != 2 || !errors.Is(errs[0], platform.ErrUnavailable) {
		t.Errorf("took %d, errors %v", taken, errs)
	}
}

func TestLogThrottlesBeforeEffect(t *testing.T) {
	taken, errs := count(t, startLog(t, StoreFaults{AppendsPerSecond: 0.001}), 3)
	if taken != 1 || len(errs) != 2 || !errors.Is(errs[0], platform.ErrThrottled) {
		t.Errorf("took %d, errors %v", taken, errs)
	}
}

func TestLogKeepsNewestRecords(t *testing.T) {
	l := startLog(t, StoreFaults{KeepRecords: 2})
	count(t, l, 5)
	if _, err := l.Read(context.Background(), "s", 2, 10); !errors.Is(err, platform.ErrTrimmed) {
		t.Errorf("read of a dropped record: %v", err)
	}
	page, err := l.Read(context.Background(), "s", 3, 10)
	if err != nil || len(page.Records) != 2 || page.Horizon != 3 {
		t.Errorf("page %+v, error %v", page, err)
	}
}
