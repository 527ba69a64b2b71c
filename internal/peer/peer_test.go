package peer

import (
	"bytes"
	"context"
	"net"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"madderhollow/assign"
	"madderhollow/internal/loglimit"
)

// testTimeout is the maximum time of each wait in the tests. It is long, so that tests also pass on a busy machine.
const testTimeout = 5 * time.Second

// listenUDP binds a UDP socket to a free port of the loopback address and closes it at the end of the test.
func listenUDP(t *testing.T) *net.UDPConn {
	t.Helper()
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() }) // Close fails only if the test has closed the socket already
	return conn
}

// freeAddress returns a loopback address to which no socket is bound. The caller must bind the address before it binds
// another socket to a free port, because the kernel may choose the same port for that socket.
func freeAddress(t *testing.T) net.Addr {
	t.Helper()
	conn := listenUDP(t)
	if err := conn.Close(); err != nil {
		t.Fatal(err)
	}
	return conn.LocalAddr()
}

// startSocket opens a Socket without logging and runs it until the end of the test. It returns the socket and the
// channel of the events that the socket receives.
func startSocket(t *testing.T, listen, broadcast string, peers ...string) (*Socket, chan assign.Event) {
	t.Helper()
	return startSocketWithLog(t, zerolog.Nop(), Config{ListenAddress: listen, BroadcastAddress: broadcast, PeerAddresses: peers})
}

// startSocketWithLog is like startSocket, but takes the configuration and a logger.
func startSocketWithLog(t *testing.T, log zerolog.Logger, config Config) (*Socket, chan assign.Event) {
	t.Helper()
	events := make(chan assign.Event, 1000)
	config.Sink = func(_ context.Context, event assign.Event) error { events <- event; return nil }
	config.Log = log
	socket, err := Open(config)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	runReturned := make(chan struct{})
	go func() { defer close(runReturned); socket.Run(ctx) }() // Run returns when the cleanup cancels ctx
	t.Cleanup(func() { cancel(); <-runReturned })
	return socket, events
}

// mustSendDatagram sends one datagram and stops the test if that fails.
func mustSendDatagram(t *testing.T, from *net.UDPConn, data []byte, to net.Addr) {
	t.Helper()
	if _, err := from.WriteTo(data, to); err != nil {
		t.Fatal(err)
	}
}

// expectDatagram fails the test unless the next datagram that the socket receives has the given text.
func expectDatagram(t *testing.T, at *net.UDPConn, want string) {
	t.Helper()
	if err := at.SetReadDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	buffer := make([]byte, 1000)
	if n, _, err := at.ReadFrom(buffer); err != nil || string(buffer[:n]) != want {
		t.Errorf("got %q (%v), want %q", buffer[:n], err, want)
	}
}

// expectHiFromPeer1 fails the test unless the event is the message "hi" from peer 1.
func expectHiFromPeer1(t *testing.T, got assign.Event) {
	t.Helper()
	if want := (assign.PeerMessageReceived{Source: 1, Data: []byte("hi")}); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// awaitHiFromPeer1 waits for the next event and fails the test unless the event is the message "hi" from peer 1.
func awaitHiFromPeer1(t *testing.T, events chan assign.Event) {
	t.Helper()
	select {
	case event := <-events:
		expectHiFromPeer1(t, event)
	case <-time.After(testTimeout):
		t.Fatal("got no event, want the message of peer 1")
	}
}

// A received message has the assigner number of its sender. Received datagrams that are oversized or come from an
// unknown sender are dropped. Messages that are oversized or have an unknown receiver are not sent.
func TestSocketDropsOversizedAndUnknownDatagrams(t *testing.T) {
	peerConn, broadcastConn, unknownConn := listenUDP(t), listenUDP(t), listenUDP(t)
	ownAddress := freeAddress(t)
	peers := []string{ownAddress.String(), peerConn.LocalAddr().String(), broadcastConn.LocalAddr().String()}
	socket, events := startSocket(t, ownAddress.String(), peers[2], peers...)
	mustSendDatagram(t, unknownConn, []byte("who"), ownAddress)
	mustSendDatagram(t, peerConn, make([]byte, maxMessageSize+1), ownAddress)
	mustSendDatagram(t, peerConn, []byte("hi"), ownAddress)
	awaitHiFromPeer1(t, events)
	for destination, conn := range map[int]*net.UDPConn{1: peerConn, -1: broadcastConn} {
		socket.Send(destination, make([]byte, maxMessageSize+1))
		socket.Send(len(peers), []byte("nobody"))
		socket.Send(destination, []byte("hello"))
		expectDatagram(t, conn, "hello")
	}
}

// Any host can send many datagrams. The log lines about dropped datagrams must therefore be rate-limited.
func TestDroppedDatagramsAreLoggedUpToBurst(t *testing.T) {
	peerConn, unknownConn := listenUDP(t), listenUDP(t)
	ownAddress := freeAddress(t)
	// There is no data race on output, because Run writes all log lines before it passes the event to the test.
	var output bytes.Buffer
	_, events := startSocketWithLog(t, zerolog.New(&output),
		Config{ListenAddress: ownAddress.String(), PeerAddresses: []string{ownAddress.String(), peerConn.LocalAddr().String()}})
	for range 3 * loglimit.Burst {
		mustSendDatagram(t, unknownConn, []byte("who"), ownAddress)
	}
	mustSendDatagram(t, peerConn, []byte("hi"), ownAddress)
	awaitHiFromPeer1(t, events)
	if got := strings.Count(output.String(), "datagram dropped"); got != loglimit.Burst {
		t.Errorf("got %d lines, want %d:\n%s", got, loglimit.Burst, output.String())
	}
}

// If another socket holds the address when Open is called, Send drops messages. Run must bind the socket as soon as the
// address is free, and then receive messages.
func TestSocketBindsOnceAddressIsFree(t *testing.T) {
	addressHolder, peerConn := listenUDP(t), listenUDP(t)
	ownAddress := addressHolder.LocalAddr()
	socket, events := startSocket(t, ownAddress.String(), "", ownAddress.String(), peerConn.LocalAddr().String())
	socket.Send(1, []byte("early"))
	if err := addressHolder.Close(); err != nil {
		t.Fatal(err)
	}
	for deadline := time.Now().Add(testTimeout); ; {
		mustSendDatagram(t, peerConn, []byte("hi"), ownAddress)
		select {
		case event := <-events:
			expectHiFromPeer1(t, event)
			return
		case <-time.After(10 * time.Millisecond): // sends the message again, because an unbound port loses it
			if time.Now().After(deadline) {
				t.Fatal("got no event, want the message of peer 1")
			}
		}
	}
}

func TestOpenRejectsInvalidAddresses(t *testing.T) {
	const valid = "127.0.0.1:1"
	for want, config := range map[string]Config{
		"peer listen address":    {ListenAddress: "nowhere", PeerAddresses: []string{valid}},
		"peer broadcast address": {ListenAddress: valid, BroadcastAddress: "nowhere"},
		"address of peer 1":      {ListenAddress: valid, PeerAddresses: []string{valid, "nowhere"}},
	} {
		if _, err := Open(config); err == nil || !strings.HasPrefix(err.Error(), want+": ") {
			t.Errorf("got error %v, want one about the %s", err, want)
		}
	}
}
