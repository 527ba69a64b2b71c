// Package servertest starts HTTP servers that end with a test.
package servertest

import (
	"net/http"
	"testing"

	"madderhollow/internal/testserver"
)

// Start returns a server with this handler at a free port of the loopback address. It is closed at the end of the test,
// which does not wait for calls of the handler.
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
