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

// timeout bounds every wait, so that a busy machine does not fail a test.
const timeout = 5 * time.Second

// listenUDP binds a datagram socket to a free port and closes it at the end of the test.
func listenUDP(t *testing.T) *net.UDPConn {
	t.Helper()
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() }) // the only error is that the test has closed it
	return conn
}

// freeAddress returns an address that no socket is bound to. The caller binds it next, since it may be assigned to any socket
// that is bound to a free port.
func freeAddress(t *testing.T) net.Addr {
	t.Helper()
	conn := listenUDP(t)
	if err := conn.Close(); err != nil {
		t.Fatal(err)
	}
	return conn.LocalAddr()
}

// start opens a socket and runs it until the end of the test.
func start(t *testing.T, listen, broadcast string, peers ...string) (*Socket, chan assign.Event) {
	t.Helper()
	return startWithLog(t, zerolog.Nop(), Config{Listen: listen, Broadcast: broadcast, Peers: peers})
}

// startWithLog is start with a logger.
func startWithLog(t *testing.T, log zerolog.Logger, config Config) (*Socket, chan assign.Event) {
	t.Helper()
	events := make(chan assign.Event, 1000)
	config.Sink = func(_ context.Context, event assign.Event) error { events <- event; return nil }
	config.Log = log
	socket, err := Open(config)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); socket.Run(ctx) }() // ends with the test
	t.Cleanup(func() { cancel(); <-ended })
	return socket, events
}

func mustSend(t *testing.T, from *net.UDPConn, data []byte, to net.Addr) {
	t.Helper()
	if _, err := from.WriteTo(data, to); err != nil {
		t.Fatal(err)
	}
}

// mustReceive fails the test unless the next datagram is a text.
func mustReceive(t *testing.T, at *net.UDPConn, want string) {
	t.Helper()
	if err := at.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		t.Fatal(err)
	}
	buffer := make([]byte, 1000)
	if n, _, err := at.ReadFrom(buffer); err != nil || string(buffer[:n]) != want {
		t.Errorf("got %q (%v), want %q", buffer[:n], err, want)
	}
}

// checkReceived fails the test unless the event is the message "hi" of peer 1.
func checkReceived(t *testing.T, got assign.Event) {
	t.Helper()
	if want := (assign.PeerMessageReceived{From: 1, Data: []byte("hi")}); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// awaitReceived fails the test unless the next event is the message "hi" of peer 1.
func awaitReceived(t *testing.T, events chan assign.Event) {
	t.Helper()
	select {
	case event := <-events:
		checkReceived(t, event)
	case <-time.After(timeout):
		t.Fatal("got no event, want the message of peer 1")
	}
}

// Received datagrams carry the sender's number. Datagrams of unknown senders and oversized ones are dropped, and oversized
// ones are not sent.
func TestSocketDropsOversizedAndUnknownDatagrams(t *testing.T) {
	first, broadcast, other := listenUDP(t), listenUDP(t), listenUDP(t)
	own := freeAddress(t)
	peers := []string{own.String(), first.LocalAddr().String(), broadcast.LocalAddr().String()}
	socket, events := start(t, own.String(), peers[2], peers...)
	mustSend(t, other, []byte("who"), own)
	mustSend(t, first, make([]byte, maxMessageSize+1), own)
	mustSend(t, first, []byte("hi"), own)
	awaitReceived(t, events)
	for to, conn := range map[int]*net.UDPConn{1: first, -1: broadcast} {
		socket.Send(to, make([]byte, maxMessageSize+1))
		socket.Send(len(peers), []byte("nobody"))
		socket.Send(to, []byte("hello"))
		mustReceive(t, conn, "hello")
	}
}

// Anybody may send datagrams, so their lines are limited.
func TestDroppedDatagramsAreLoggedUpToBurst(t *testing.T) {
	peer, unknown := listenUDP(t), listenUDP(t)
	own := freeAddress(t)
	var output bytes.Buffer // written by the goroutine of Run, before the event is received
	_, events := startWithLog(t, zerolog.New(&output),
		Config{Listen: own.String(), Peers: []string{own.String(), peer.LocalAddr().String()}})
	for range 3 * loglimit.Burst {
		mustSend(t, unknown, []byte("who"), own)
	}
	mustSend(t, peer, []byte("hi"), own)
	awaitReceived(t, events)
	if got := strings.Count(output.String(), "datagram dropped"); got != loglimit.Burst {
		t.Errorf("got %d lines, want %d:\n%s", got, loglimit.Burst, output.String())
	}
}

// While another socket holds the address, messages to send are dropped; the socket binds once the address is free.
func TestSocketBindsOnceAddressIsFree(t *testing.T) {
	held, other := listenUDP(t), listenUDP(t)
	own := held.LocalAddr()
	socket, events := start(t, own.String(), "", own.String(), other.LocalAddr().String())
	socket.Send(1, []byte("early"))
	if err := held.Close(); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(timeout); ; {
		mustSend(t, other, []byte("hi"), own)
		select {
		case event := <-events:
			checkReceived(t, event)
			return
		case <-time.After(10 * time.Millisecond): // datagrams to an unbound port are lost, so send again
			if time.Now().After(end) {
				t.Fatal("got no event, want the message of peer 1")
			}
		}
	}
}

func TestOpenRejectsInvalidAddresses(t *testing.T) {
	const valid = "127.0.0.1:1"
	for want, config := range map[string]Config{
		"peer listen address":    {Listen: "nowhere", Peers: []string{valid}},
		"peer broadcast address": {Listen: valid, Broadcast: "nowhere"},
		"address of peer 1":      {Listen: valid, Peers: []string{valid, "nowhere"}},
	} {
		if _, err := Open(config); err == nil || !strings.HasPrefix(err.Error(), want+": ") {
			t.Errorf("got error %v, want one about the %s", err, want)
		}
	}
}
