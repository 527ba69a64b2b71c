// Package servertest starts HTTP servers that are closed at the end of a test.
package servertest

import (
	"net/http"
	"testing"

	"madderhollow/internal/testserver"
)

// Start starts a server with a handler at a free port of the loopback address. The server is closed at the end of
// the test. Calls of the handler may still be running after the test has ended.
func Start(t *testing.T, handler http.HandlerFunc) *testserver.Server {
	t.Helper()
	server, err := testserver.New("", handler)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := server.Close(); err != nil {
			t.Errorf("close server: %v", err)
		}
	})
	return server
}
