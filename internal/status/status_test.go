package status

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// testTimeout bounds any wait. It is long enough for a busy machine.
const testTimeout = 10 * time.Second

// page is a status page that a test runs.
type page struct {
	url    string
	cancel context.CancelFunc
	result chan error // of Serve
}

// serve serves a page with counters until the test ends.
func serve(t *testing.T, counters func() any) *page {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	served := &page{url: "http://" + listener.Addr().String(), cancel: cancel, result: make(chan error, 1)}
	go func() { served.result <- Serve(ctx, listener, counters) }() // ends with ctx, which the cleanup cancels
	return served
}

// awaitResult returns what Serve returned.
func (p *page) awaitResult(t *testing.T) error {
	t.Helper()
	select {
	case err := <-p.result:
		return err
	case <-time.After(testTimeout):
		t.Fatalf("got Serve still running after %v, want it to return", testTimeout)
		return nil
	}
}

// get returns the answer to a request, and closes its body with the test.
func get(t *testing.T, method, url string) *http.Response {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, url, http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: testTimeout}
	response, err := client.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = response.Body.Close() }) // no error matters once the test has ended
	return response
}

func TestHealthShowsCurrentCountersAsJSON(t *testing.T) {
	var calls atomic.Int64
	served := serve(t, func() any { return map[string]int64{"calls": calls.Add(1)} })
	for want := range int64(2) {
		response := get(t, http.MethodGet, served.url+"/healthz")
		if got := response.Header.Get("Content-Type"); got != "application/json" {
			t.Errorf("got content type %q, want application/json", got)
		}
		var counters map[string]int64
		if err := json.NewDecoder(response.Body).Decode(&counters); err != nil {
			t.Fatal(err)
		}
		if counters["calls"] != want+1 {
			t.Errorf("got counters %v, want calls %d", counters, want+1)
		}
	}
}

func TestServeAnswersOnlyItsPages(t *testing.T) {
	served := serve(t, func() any { return nil })
	for _, test := range []struct {
		method, path string
		wantStatus   int
		wantText     string // part of the body
	}{
		{http.MethodGet, "/healthz", http.StatusOK, "null"},
		{http.MethodGet, "/debug/pprof/", http.StatusOK, "goroutine"},
		{http.MethodGet, "/debug/pprof/goroutine?debug=1", http.StatusOK, "goroutine profile"},
		{http.MethodGet, "/", http.StatusNotFound, ""},
		{http.MethodPost, "/healthz", http.StatusMethodNotAllowed, ""},
	} {
		t.Run(test.method+" "+test.path, func(t *testing.T) {
			response := get(t, test.method, served.url+test.path)
			body, err := io.ReadAll(response.Body)
			if err != nil {
				t.Fatal(err)
			}
			if response.StatusCode != test.wantStatus || !strings.Contains(string(body), test.wantText) {
				t.Errorf("got status %d and body %q, want status %d and a body with %q", response.StatusCode, body, test.wantStatus, test.wantText)
			}
		})
	}
}

func TestServeClosesListenerAndConnectionsWhenContextEnds(t *testing.T) {
	served := serve(t, func() any { return nil })
	address := strings.TrimPrefix(served.url, "http://")
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }() // the server has closed it
	get(t, http.MethodGet, served.url+"/healthz")
	served.cancel()
	if err := served.awaitResult(t); err != nil {
		t.Errorf("got error %v, want none", err)
	}
	if err := conn.SetReadDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	if n, err := conn.Read(make([]byte, 1)); err == nil || isTimeout(err) {
		t.Errorf("open connection: got %d bytes and error %v, want it closed", n, err)
	}
	if another, err := net.Dial("tcp", address); err == nil {
		t.Errorf("got a connection to %s, want it refused", address)
		_ = another.Close() // of no use
	}
}

// isTimeout reports whether a read failed because of its deadline.
func isTimeout(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded)
}

func TestServeReturnsErrorWhenListenerFails(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	if err := Serve(t.Context(), listener, func() any { return nil }); !errors.Is(err, net.ErrClosed) {
		t.Errorf("got error %v, want %v", err, net.ErrClosed)
	}
}
