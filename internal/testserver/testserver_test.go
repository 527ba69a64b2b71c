package testserver_test

import (
	"net/http"
	"testing"
	"time"

	"madderhollow/internal/testserver"
)

// The server that Move left behind may not have noticed yet that its listener is closed.
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
