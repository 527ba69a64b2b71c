package peer

import (
	"context"
	"net"
	"reflect"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"madderhollow/assign"
)

// soon is what anything may take on a busy machine.
const soon = 5 * time.Second

// listenUDP opens a datagram socket at a free port, until the end of the test.
func listenUDP(t *testing.T) *net.UDPConn {
	t.Helper()
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() }) // some tests close it before
	return conn
}

// start opens a socket and runs it until the end of the test.
func start(t *testing.T, listen, all string, peers ...string) (*Socket, chan assign.Event) {
	t.Helper()
	events := make(chan assign.Event, 1000)
	sink := func(_ context.Context, event assign.Event) error { events <- event; return nil }
	socket, err := Open(listen, all, peers, sink, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); socket.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-ended })
	return socket, events
}

func mustSend(t *testing.T, from *net.UDPConn, data []byte, to net.Addr) {
	t.Helper()
	if _, err := from.WriteTo(data, to); err != nil {
		t.Fatal(err)
	}
}

// mustReceive reads a datagram, which must be a text.
func mustReceive(t *testing.T, at *net.UDPConn, want string) {
	t.Helper()
	if err := at.SetReadDeadline(time.Now().Add(soon)); err != nil {
		t.Fatal(err)
	}
	buffer := make([]byte, 1000)
	if n, _, err := at.ReadFrom(buffer); err != nil || string(buffer[:n]) != want {
		t.Errorf("got %q (%v), want %q", buffer[:n], err, want)
	}
}

// Datagrams come with the sender's number; who is no peer, and what is too long, is left out, and nothing too long goes
// out, which would void all.
func TestDatagrams(t *testing.T) {
	free, first, all, other := listenUDP(t), listenUDP(t), listenUDP(t), listenUDP(t)
	ours := free.LocalAddr()
	if err := free.Close(); err != nil {
		t.Fatal(err)
	}
	peers := []string{ours.String(), first.LocalAddr().String(), all.LocalAddr().String()}
	socket, events := start(t, ours.String(), peers[2], peers...)
	mustSend(t, other, []byte("who"), ours)
	mustSend(t, first, make([]byte, maxMessageSize+1), ours)
	mustSend(t, first, []byte("hi"), ours)
	select {
	case event := <-events:
		if want := (assign.PeerMessageReceived{From: 1, Data: []byte("hi")}); !reflect.DeepEqual(event, want) {
			t.Errorf("got %+v", event)
		}
	case <-time.After(soon):
		t.Error("nothing arrived")
	}
	for to, conn := range map[int]*net.UDPConn{1: first, -1: all} {
		socket.Send(to, make([]byte, maxMessageSize+1))
		socket.Send(len(peers), []byte("nobody"))
		socket.Send(to, []byte("hello"))
		mustReceive(t, conn, "hello")
	}
}

// Where the address is still another's, it is opened once that one is gone; till then what is sent goes nowhere.
func TestAddressStillHeld(t *testing.T) {
	held, other := listenUDP(t), listenUDP(t)
	ours := held.LocalAddr()
	socket, events := start(t, ours.String(), "", ours.String(), other.LocalAddr().String())
	socket.Send(1, []byte("early"))
	if err := held.Close(); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(soon); ; {
		mustSend(t, other, []byte("hi"), ours)
		select {
		case event := <-events:
			if want := (assign.PeerMessageReceived{From: 1, Data: []byte("hi")}); !reflect.DeepEqual(event, want) {
				t.Errorf("got %+v", event)
			}
			return
		case <-time.After(10 * time.Millisecond): // datagrams to a closed port are lost
			if time.Now().After(end) {
				t.Fatal("nothing arrived")
			}
		}
	}
}
