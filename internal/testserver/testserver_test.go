package testserver_test

import (
	"net/http"
	"testing"
	"time"

	"madderhollow/internal/testserver"
)

// TestCloseReportsNoErrorRightAfterMove guards against an error of Close right after Move: if the HTTP server of the
// old address is closed before it notices that Move closed its listener, it closes the listener for the second time.
// The test repeats both calls, because the failure depends on a race.
func TestCloseReportsNoErrorRightAfterMove(t *testing.T) {
	for i := range 500 {
		server, err := testserver.New("", http.NotFoundHandler())
		if err != nil {
			t.Fatal(err)
		}
		if err := server.Move("", time.Hour); err != nil {
			t.Fatalf("server %d: %v", i, err)
		}
		if err := server.Close(); err != nil {
			t.Fatalf("server %d: got error %v from Close, want none", i, err)
		}
	}
}
