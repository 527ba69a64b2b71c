package lateread_test

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"madderhollow/internal/eventually"
	"madderhollow/internal/lateread"
)

// testTimeout bounds each wait of the tests. It is long enough for a heavily loaded machine.
const testTimeout = 5 * time.Second

// connect returns the two ends of a TCP connection, which are closed at the end of the test.
func connect(t *testing.T) (client, server net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }() // the listener is not used again
	if client, err = net.Dial("tcp", listener.Addr().String()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = client.Close() }) // Close fails if the test has already closed the connection
	if server, err = listener.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = server.Close() }) // Close fails if the test has already closed the connection
	return client, server
}

// expireDeadline lets the read deadline of a connection pass, as it does while the process is suspended.
func expireDeadline(t *testing.T, conn net.Conn) {
	t.Helper()
	if err := conn.SetReadDeadline(time.Now().Add(-time.Second)); err != nil {
		t.Fatal(err)
	}
}

// Guards against a deadline that ends a read although the other side was not silent.
func TestReadReturnsBytesThatArrivedBeforeDeadline(t *testing.T) {
	t.Parallel()
	client, server := connect(t)
	if _, err := server.Write([]byte("heartbeat")); err != nil {
		t.Fatal(err)
	}
	if !eventually.True(testTimeout, func() bool { return lateread.UnreadBytes(client) == len("heartbeat") }) {
		t.Fatalf("got %d unread bytes, want %d", lateread.UnreadBytes(client), len("heartbeat"))
	}
	expireDeadline(t, client)
	buffer := make([]byte, 100)
	n, err := lateread.Read(client, buffer)
	if got := string(buffer[:n]); got != "heartbeat" || err != nil {
		t.Errorf("got %q and error %v, want the bytes that had arrived", got, err)
	}
	if n, err = lateread.Read(client, buffer); n != 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("without further bytes: got %d bytes and error %v, want none and %v", n, err, os.ErrDeadlineExceeded)
	}
}

func TestReadReportsEndOfStreamAfterDeadline(t *testing.T) {
	t.Parallel()
	client, server := connect(t)
	if err := server.Close(); err != nil {
		t.Fatal(err)
	}
	expireDeadline(t, client)
	var err error
	eventually.True(testTimeout, func() bool { // the close arrives some time after the call of Close
		_, err = lateread.Read(client, make([]byte, 1))
		return !errors.Is(err, os.ErrDeadlineExceeded)
	})
	if !errors.Is(err, io.EOF) {
		t.Errorf("got error %v, want %v", err, io.EOF)
	}
}

func TestReadFailsOnClosedConnection(t *testing.T) {
	t.Parallel()
	client, _ := connect(t)
	if err := client.Close(); err != nil {
		t.Fatal(err)
	}
	if n, err := lateread.Read(client, make([]byte, 1)); n != 0 || !errors.Is(err, net.ErrClosed) {
		t.Errorf("got %d bytes and error %v, want none and %v", n, err, net.ErrClosed)
	}
}

// A connection without a socket has only its own Read.
func TestReadWithoutSocketReturnsDeadlineError(t *testing.T) {
	t.Parallel()
	client, server := net.Pipe()
	t.Cleanup(func() { _ = errors.Join(client.Close(), server.Close()) }) // Close of a pipe never fails
	expireDeadline(t, client)
	if n, err := lateread.Read(client, make([]byte, 1)); n != 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("got %d bytes and error %v, want none and %v", n, err, os.ErrDeadlineExceeded)
	}
	if got := lateread.UnreadBytes(client); got != 0 {
		t.Errorf("got %d unread bytes, want 0", got)
	}
}
