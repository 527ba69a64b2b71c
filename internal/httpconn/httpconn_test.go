package httpconn

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"madderhollow/internal/eventually"
	"madderhollow/internal/servertest"
	"madderhollow/internal/testserver"
)

const testTimeout = 5 * time.Second

// dialServer starts a server with the handler and returns the server and a connection to it. Both are closed at the end
// of the test.
func dialServer(t *testing.T, handler http.HandlerFunc) (*testserver.Server, *Conn) {
	t.Helper()
	server := servertest.Start(t, handler)
	conn, err := Dial(t.Context(), server.Address(), testTimeout)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() }) // Close fails if the test has already closed the connection
	return server, conn
}

func TestDoReportsWhetherRequestWasSent(t *testing.T) {
	handlers := map[string]http.HandlerFunc{
		"responded":         func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) },
		"closed after sent": func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
	}
	for _, test := range []struct {
		name             string
		handler          http.HandlerFunc
		closeBeforeWrite bool
		wantSent         bool
		wantErr          error
	}{
		{name: "response", handler: handlers["responded"], wantSent: true},
		{name: "closed by server", handler: handlers["closed after sent"], wantSent: true, wantErr: io.ErrUnexpectedEOF},
		{name: "closed before write", handler: handlers["responded"], closeBeforeWrite: true, wantErr: net.ErrClosed},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, conn := dialServer(t, test.handler)
			if test.closeBeforeWrite {
				if err := conn.Close(); err != nil {
					t.Fatal(err)
				}
			}
			response, sent, err := conn.Do(conn.NewRequest(http.MethodGet, "/"), testTimeout)
			if sent != test.wantSent || !errors.Is(err, test.wantErr) {
				t.Errorf("got sent %t, error %v; want sent %t, error %v", sent, err, test.wantSent, test.wantErr)
			}
			if err != nil {
				return
			}
			if err := response.Body.Close(); err != nil {
				t.Error(err)
			}
		})
	}
}

func TestDoFailsAfterTimeout(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	_, conn := dialServer(t, func(http.ResponseWriter, *http.Request) { <-release })
	response, sent, err := conn.Do(conn.NewRequest(http.MethodGet, "/"), 10*time.Millisecond)
	if !sent || !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("got sent %t, error %v; want sent true, error %v", sent, err, os.ErrDeadlineExceeded)
	}
	if response != nil {
		t.Errorf("got response %v, want none", response.Status)
		_ = response.Body.Close() // an error of Close is ignored because the test has failed already
	}
}

func TestServerClosedAfterServerClosesIdleConnection(t *testing.T) {
	server, conn := dialServer(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	response, _, err := conn.Do(conn.NewRequest(http.MethodGet, "/"), testTimeout)
	if err != nil {
		t.Fatal(err)
	}
	if err := response.Body.Close(); err != nil {
		t.Fatal(err)
	}
	if conn.ServerClosed() || conn.HasUnreadBytes() {
		t.Errorf("open connection: got server closed %t, unread %t; want false, false", conn.ServerClosed(), conn.HasUnreadBytes())
	}
	if !eventually.True(testTimeout, func() bool { return server.CloseIdleConnections() > 0 }) {
		t.Fatal("got no idle connection, want one")
	}
	if !eventually.True(testTimeout, conn.ServerClosed) {
		t.Error("closed connection: got server closed false, want true")
	}
}
