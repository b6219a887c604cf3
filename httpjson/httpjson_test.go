package httpjson

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
)

type message struct {
	Text string `json:"text"`
}

func TestRequireSecret(t *testing.T) {
	h := RequireSecret("secret", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }))
	for authorization, status := range map[string]int{
		"Bearer secret":  http.StatusNoContent,
		"Bearer secret ": http.StatusUnauthorized,
		"Bearer secre":   http.StatusUnauthorized,
		"Bearer ":        http.StatusUnauthorized,
		"Basic secret":   http.StatusUnauthorized,
		"secret":         http.StatusUnauthorized,
		"":               http.StatusUnauthorized,
	} {
		r := httptest.NewRequest(http.MethodGet, "/", nil)
		r.Header.Set("Authorization", authorization)
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		if w.Code != status {
			t.Errorf("%q: status %d, want %d", authorization, w.Code, status)
		}
	}
}

func TestReadBodyIsBounded(t *testing.T) {
	large := append(bytes.Repeat([]byte(" "), MaxRequestBytes), `{"text":"x"}`...)
	var m message
	if err := ReadBody(httptest.NewRequest(http.MethodPost, "/", bytes.NewReader(large)), &m); err == nil {
		t.Error("a body beyond the limit was read")
	}
	if err := ReadBody(httptest.NewRequest(http.MethodPost, "/", strings.NewReader(`{"text":"x"}`)), &m); err != nil || m.Text != "x" {
		t.Errorf("message %+v, error %v", m, err)
	}
	if err := ReadBody(httptest.NewRequest(http.MethodPost, "/", strings.NewReader(`{"text":`)), &m); err == nil {
		t.Error("half a body was read")
	}
}

func TestClient(t *testing.T) {
	server := httptest.NewServer(RequireSecret("secret", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var in message
		if err := ReadBody(r, &in); err != nil || in.Text == "bad" {
			http.Error(w, "no such text", http.StatusTeapot)
			return
		}
		WriteJSON(w, http.StatusOK, in)
	})))
	defer server.Close()
	c := NewClient(server.URL+"/", nil).WithSecret("secret")
	var out message
	if err := c.Do(context.Background(), http.MethodPost, "/x", message{"good"}, &out); err != nil || out.Text != "good" {
		t.Errorf("answer %+v, error %v", out, err)
	}
	err := c.Do(context.Background(), http.MethodPost, "/x", message{"bad"}, &out)
	if StatusOf(err) != http.StatusTeapot || !strings.Contains(err.Error(), "no such text") {
		t.Errorf("error %v", err)
	}
	if err := NewClient(server.URL, nil).Do(context.Background(), http.MethodPost, "/x", message{}, nil); StatusOf(err) != http.StatusUnauthorized {
		t.Errorf("without secret: %v", err)
	}
	server.Close()
	if err := c.Do(context.Background(), http.MethodPost, "/x", nil, nil); err == nil || StatusOf(err) != 0 {
		t.Errorf("a server that is gone: %v", err)
	}
}

// TestClientAnswersWithoutEnd guards against a caller that keeps an answer without end in memory: the
// client must give up at its limit, and keep little of the body of a refusal.
func TestClientAnswersWithoutEnd(t *testing.T) {
	const limit = 1 << 10
	for _, status := range []int{http.StatusOK, http.StatusBadGateway} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.WriteHeader(status)
			for r.Context().Err() == nil {
				if _, err := w.Write(bytes.Repeat([]byte(" "), 1<<15)); err != nil {
					return
				}
			}
		}))
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		var out message
		err := NewClient(server.URL, nil).WithMaxResponseBytes(limit).Do(ctx, http.MethodGet, "/", nil, &out)
		cancel()
		server.Close()
		switch status {
		case http.StatusOK:
			if !errors.Is(err, ErrTooLong) || !strings.Contains(err.Error(), "1024 bytes") {
				t.Errorf("status %d: error %v", status, err)
			}
		default:
			if StatusOf(err) != status {
				t.Errorf("status %d: error %v", status, err)
			}
		}
	}
}

// TestClientLimit takes an answer that is as long as the limit allows, and none that is longer.
func TestClientLimit(t *testing.T) {
	body := `{"text":"x"}`
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(body)) }))
	defer server.Close()
	for limit, ok := range map[int64]bool{int64(len(body)): true, int64(len(body)) - 1: false} {
		var out message
		err := NewClient(server.URL, nil).WithMaxResponseBytes(limit).Do(context.Background(), http.MethodGet, "/", nil, &out)
		if (err == nil) != ok || ok && out.Text != "x" {
			t.Errorf("limit %d: %+v, error %v", limit, out, err)
		}
	}
}
