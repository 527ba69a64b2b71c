package peer

import (
	"bytes"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"madderhollow/internal/golden"
)

// TestPeerBytes compares the datagrams that peers get for a fixed list of messages with those of an earlier build.
func TestPeerBytes(t *testing.T) {
	receiver, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer receiver.Close()
	address := receiver.LocalAddr().String()
	s, err := Open("127.0.0.1:0", address, []string{address}, nil, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	defer s.conn.Load().Close()
	var got bytes.Buffer
	buffer := make([]byte, 1024)
	for _, to := range []int{-1, 0} {
		for _, data := range [][]byte{{}, []byte("hi 7"), {0, 255, 10}, bytes.Repeat([]byte{7}, 256)} {
			s.Tell(to, data)
			if err := receiver.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
				t.Fatal(err)
			}
			n, err := receiver.Read(buffer)
			if err != nil {
				t.Fatal(err)
			}
			fmt.Fprintf(&got, "%d %x\n", to, buffer[:n])
		}
	}
	golden.Compare(t, "peer_bytes.txt", got.Bytes())
}
