package peer

import (
	"context"
	"net"
	"reflect"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"madderhollow/assign"
)

// Datagrams come with the sender's number; who is no peer, and what is too long, is left out, and nothing too
// long goes out, which would void all.
func TestDatagrams(t *testing.T) {
	const n = 3
	var socks [n]*net.UDPConn
	var peers []string
	for i := range socks {
		c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		socks[i], peers = c, append(peers, c.LocalAddr().String())
	}
	socks[0].Close() // its address is ours
	got := make(chan assign.Event, 10)
	s, err := Open(peers[0], peers[2], peers, func(_ context.Context, e assign.Event) error { got <- e; return nil }, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Add(1)
	go func() { defer wg.Done(); s.Run(ctx) }()
	defer wg.Wait()
	defer stop()
	us := s.conn.Load().LocalAddr()
	stranger, err := net.Dial("udp", us.String())
	if err != nil {
		t.Fatal(err)
	}
	defer stranger.Close()
	stranger.Write([]byte("who"))
	socks[1].WriteTo(make([]byte, most+1), us)
	socks[1].WriteTo([]byte("hi"), us)
	select {
	case e := <-got:
		if want := (assign.PeerMessageReceived{From: 1, Data: []byte("hi")}); !reflect.DeepEqual(e, want) {
			t.Errorf("got %+v", e)
		}
	case <-time.After(5 * time.Second):
		t.Error("nothing arrived")
	}
	for to, sock := range map[int]int{1: 1, -1: 2} {
		s.Tell(to, make([]byte, most+1))
		s.Tell(n, []byte("nobody"))
		s.Tell(to, []byte("hello"))
		b := make([]byte, 1000)
		socks[sock].SetReadDeadline(time.Now().Add(5 * time.Second))
		if k, _, err := socks[sock].ReadFrom(b); err != nil || string(b[:k]) != "hello" {
			t.Errorf("to %d: got %q (%v)", to, b[:k], err)
		}
	}
}

// Where the address is still another's, it is opened once that one is gone; till then what is told goes nowhere.
func TestAddressStillHeld(t *testing.T) {
	held, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer held.Close()
	other, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	us := held.LocalAddr()
	got := make(chan assign.Event, 1000)
	s, err := Open(us.String(), "", []string{us.String(), other.LocalAddr().String()},
		func(_ context.Context, e assign.Event) error { got <- e; return nil }, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { defer close(ended); s.Run(ctx) }()
	defer func() { stop(); <-ended }()
	s.Tell(1, []byte("early"))
	held.Close()
	for end := time.Now().Add(5 * time.Second); ; {
		other.WriteTo([]byte("hi"), us)
		select {
		case e := <-got:
			if want := (assign.PeerMessageReceived{From: 1, Data: []byte("hi")}); !reflect.DeepEqual(e, want) {
				t.Errorf("got %+v", e)
			}
			return
		case <-time.After(10 * time.Millisecond): // datagrams to a closed port are lost
			if time.Now().After(end) {
				t.Fatal("nothing arrived")
			}
		}
	}
}
