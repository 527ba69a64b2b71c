package wire

import (
	"errors"
	"io"
	"math/rand"
	"reflect"
	"strings"
	"testing"

	"madderhollow/internal/quickcheck"
)

// chunkedReader is an io.Reader that returns a text in chunks of random size.
type chunkedReader struct {
	random *rand.Rand
	text   string // rest of the text that has not been read
}

func (r *chunkedReader) Read(b []byte) (int, error) {
	if r.text == "" {
		return 0, io.EOF
	}
	n := min(1+r.random.Intn(9), len(r.text), len(b))
	copy(b, r.text[:n])
	r.text = r.text[n:]
	return n, nil
}

// readEvents reads an event stream to its end. It returns each event as its type and data with "|" between them, and
// the error that ended the stream.
func readEvents(r io.Reader) (events []string, err error) {
	for stream := NewEventStream(r); ; {
		eventType, data, err := stream.Next()
		if err != nil {
			return events, err
		}
		events = append(events, eventType+"|"+data)
	}
}

func TestStreamIsIndependentOfChunksAndLineEnds(t *testing.T) {
	text := "\ufeffevent: joined\nid: 7\ndata: node=17&w=2\ndata:more\n\n:\n\n: hello\n" +
		"event:left\n:\ndata: node=17\nretry: 3\n\nevent: none\n\ndata\n\ndata: cut off"
	want := []string{"joined|node=17&w=2\nmore", "|", "|", "left|node=17", "message|"}
	property := func(seed int64) bool {
		random := rand.New(rand.NewSource(seed))
		lineEnd := []string{"\n", "\r", "\r\n"}[random.Intn(3)]
		got, err := readEvents(&chunkedReader{random, strings.ReplaceAll(text, "\n", lineEnd)})
		if !errors.Is(err, io.EOF) || !reflect.DeepEqual(got, want) {
			t.Logf("seed %d: got %q (%v), want %q", seed, got, err, want)
			return false
		}
		return true
	}
	quickcheck.CheckSeeds(t, 300, property)
}

func TestStreamRejectsOversizedEvents(t *testing.T) {
	for name, text := range map[string]string{
		"line": strings.Repeat("x", maxEventSize+1),
		"data": strings.Repeat("data: "+strings.Repeat("x", 1000)+"\n", 70),
	} {
		if got, err := readEvents(strings.NewReader(text)); len(got) > 0 || !errors.Is(err, ErrEventTooLong) {
			t.Errorf("%s: got %d events (%v), want none (%v)", name, len(got), err, ErrEventTooLong)
		}
	}
}
