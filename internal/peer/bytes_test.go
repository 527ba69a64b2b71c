package peer

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"madderhollow/internal/golden"
)

// TestDatagramsMatchRecordedBytes sends a fixed list of messages to one peer and to the broadcast address. It compares
// the datagrams that arrive with the bytes recorded in testdata, so that the format of the datagrams does not change
// unnoticed.
func TestDatagramsMatchRecordedBytes(t *testing.T) {
	receiver := listenUDP(t)
	address := receiver.LocalAddr().String()
	socket, _ := startSocket(t, "127.0.0.1:0", address, address)
	var got bytes.Buffer
	buffer := make([]byte, 1024)
	for _, to := range []int{-1, 0} {
		for _, data := range [][]byte{{}, []byte("hi 7"), {0, 255, 10}, bytes.Repeat([]byte{7}, 256)} {
			socket.Send(to, data)
			if err := receiver.SetReadDeadline(time.Now().Add(testTimeout)); err != nil {
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
