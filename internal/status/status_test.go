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

// testTimeout is the maximum time of each wait in the tests. It is long enough for a busy machine.
const testTimeout = 10 * time.Second

// testPage is a status page that a test serves.
type testPage struct {
	url         string
	cancel      context.CancelFunc
	serveResult chan error // receives the error that Serve returns
}

// startPage serves a status page with the given counters until the test ends or calls cancel.
func startPage(t *testing.T, counters func() any) *testPage {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	page := &testPage{url: "http://" + listener.Addr().String(), cancel: cancel, serveResult: make(chan error, 1)}
	go func() { page.serveResult <- Serve(ctx, listener, counters) }() // Serve returns when the cleanup cancels ctx
	return page
}

// awaitResult waits until Serve returns, and returns its error.
func (p *testPage) awaitResult(t *testing.T) error {
	t.Helper()
	select {
	case err := <-p.serveResult:
		return err
	case <-time.After(testTimeout):
		t.Fatalf("got Serve still running after %v, want it to return", testTimeout)
		return nil
	}
}

// sendRequest sends a request and returns the response. The body of the response is closed at the end of the test.
func sendRequest(t *testing.T, method, url string) *http.Response {
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
	t.Cleanup(func() { _ = response.Body.Close() }) // an error of Close does not matter after the test has ended
	return response
}

func TestHealthShowsCurrentCountersAsJSON(t *testing.T) {
	var calls atomic.Int64
	page := startPage(t, func() any { return map[string]int64{"calls": calls.Add(1)} })
	for earlierCalls := range int64(2) {
		response := sendRequest(t, http.MethodGet, page.url+"/healthz")
		if got := response.Header.Get("Content-Type"); got != "application/json" {
			t.Errorf("got content type %q, want application/json", got)
		}
		var counters map[string]int64
		if err := json.NewDecoder(response.Body).Decode(&counters); err != nil {
			t.Fatal(err)
		}
		if counters["calls"] != earlierCalls+1 {
			t.Errorf("got counters %v, want calls %d", counters, earlierCalls+1)
		}
	}
}

func TestServeAnswersOnlyItsPages(t *testing.T) {
	page := startPage(t, func() any { return nil })
	for _, test := range []struct {
		method, path string
		wantStatus   int
		wantText     string // text that the response body must contain
	}{
		{http.MethodGet, "/healthz", http.StatusOK, "null"},
		{http.MethodGet, "/debug/pprof/", http.StatusOK, "goroutine"},
		{http.MethodGet, "/debug/pprof/goroutine?debug=1", http.StatusOK, "goroutine profile"},
		{http.MethodGet, "/", http.StatusNotFound, ""},
		{http.MethodPost, "/healthz", http.StatusMethodNotAllowed, ""},
	} {
		t.Run(test.method+" "+test.path, func(t *testing.T) {
			response := sendRequest(t, test.method, page.url+test.path)
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
	page := startPage(t, func() any { return nil })
	address := strings.TrimPrefix(page.url, "http://")
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }() // Close may fail, because the server has closed the connection
	sendRequest(t, http.MethodGet, page.url+"/healthz")
	page.cancel()
	if err := page.awaitResult(t); err != nil {
		t.Errorf("got error %v, want none", err)
	}
	if err := conn.SetReadDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	if n, err := conn.Read(make([]byte, 1)); err == nil || isTimeout(err) {
		t.Errorf("open connection: got %d bytes and error %v, want it closed", n, err)
	}
	if secondConn, err := net.Dial("tcp", address); err == nil {
		t.Errorf("got a connection to %s, want it refused", address)
		_ = secondConn.Close() // an error of Close does not matter, because the test has failed already
	}
}

// isTimeout reports whether a read failed because its deadline passed.
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
