package intake

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"reflect"
	"strings"
	"sync"
	"testing"
	"testing/quick"
	"time"

	"github.com/rs/zerolog"

	"madderhollow/assign"
	"madderhollow/internal/standin"
	"madderhollow/internal/wire"
)

const soon = 5 * time.Second

var codec = wire.NewCodec(assign.Settings{"zones": []string{"a", "b"}, "proxies": 8.0, "kind.name": []string{"read"}}, time.Now())

// open starts a server that holds so many connections beside the spare ones.
func open(t *testing.T, most int) (address string, got chan assign.Event, s *Server) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	got = make(chan assign.Event, 10000)
	s = New(codec, func(_ context.Context, e assign.Event) error { got <- e; return nil }, most+spare, zerolog.Nop())
	ctx, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Add(1)
	go func() { defer wg.Done(); s.Serve(ctx, l) }()
	t.Cleanup(func() {
		stop()
		wg.Wait()
		if len(s.clients) > 0 {
			t.Errorf("%d connections are left", len(s.clients))
		}
	})
	return l.Addr().String(), got, s
}

func next(t *testing.T, got chan assign.Event) assign.Event {
	t.Helper()
	select {
	case e := <-got:
		return e
	case <-time.After(soon):
		t.Fatal("no event")
		return nil
	}
}

func dial(t *testing.T, address string) *standin.Collector {
	t.Helper()
	c, err := standin.Dial(address, "a")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

const usage = `{"@type":"usage","node":%d,"route":"read","total":%d,"errors":0,"interval":1000%s}`

// Reports arrive once and in order, in whatever pieces; what cannot be read is left out and breaks nothing.
func TestReportsInAnyPieces(t *testing.T) {
	address, got, _ := open(t, 100)
	f := func(seed int64) bool {
		rng := rand.New(rand.NewSource(seed))
		var text strings.Builder
		var want []assign.Event
		text.WriteString(`{"@type":"collector","locality":"b"}` + "\n")
		for i := range 30 {
			switch rng.Intn(6) {
			case 0:
				text.WriteString([]string{"", "{", "nonsense", `{"@type":"odd"}`, `{"@type":"usage"}`, "\x00\xff"}[rng.Intn(6)])
			case 1: // longer than the reader's buffer
				fmt.Fprintf(&text, usage, i%8, i, strings.Repeat(" ", rng.Intn(20000)))
				want = append(want, assign.Used{Proxy: i % 8, Kind: "read", Span: 1, Reqs: i})
			case 2: // longer than a message may be
				if i%10 == 0 {
					fmt.Fprintf(&text, usage, 1, 1, strings.Repeat(" ", lineMost))
				}
			default:
				fmt.Fprintf(&text, usage, i%8, i, "")
				want = append(want, assign.Used{Proxy: i % 8, Kind: "read", Span: 1, Reqs: i})
			}
			text.WriteString("\n")
		}
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		for b := text.String(); b != ""; {
			n := min(len(b), 1+rng.Intn(1<<uint(rng.Intn(18))))
			if _, err := io.WriteString(conn, b[:n]); err != nil {
				t.Fatal(err)
			}
			b = b[n:]
		}
		for i, w := range want {
			if e := next(t, got); !reflect.DeepEqual(e, w) {
				t.Logf("event %d: got %+v, want %+v", i, e, w)
				return false
			}
		}
		return len(got) == 0
	}
	if err := quick.Check(f, &quick.Config{MaxCount: 20, Rand: rand.New(rand.NewSource(1))}); err != nil {
		t.Error(err)
	}
}

// Whoever has not told its zone may ping, and no more.
func TestStrangers(t *testing.T) {
	address, got, _ := open(t, 100)
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprintf(conn, usage+"\n{\"@type\":\"ping\"}\n", 1, 1, "")
	conn.SetReadDeadline(time.Now().Add(soon))
	b := make([]byte, len(wire.Pong))
	if _, err := io.ReadFull(conn, b); err != nil || string(b) != string(wire.Pong) {
		t.Errorf("got %q (%v)", b, err)
	}
	if len(got) > 0 {
		t.Errorf("a stranger's report became %+v", <-got)
	}
	io.WriteString(conn, strings.Repeat("x", 2*strangerMost))
	if n, err := conn.Read(b); err == nil || errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("an endless line was answered %q", b[:n])
	}
}

// With too many connections the oldest idle stranger goes; collectors stay.
func TestTheOldestStrangerGoes(t *testing.T) {
	address, got, s := open(t, 5)
	c := dial(t, address)
	c.Usage(1, "read", 1)
	next(t, got)
	var strangers []net.Conn
	for i := range 20 {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		if strangers = append(strangers, conn); i >= 4 {
			conn = strangers[i-4]
			conn.SetReadDeadline(time.Now().Add(soon))
			if _, err := conn.Read(make([]byte, 1)); err == nil {
				t.Fatal("a stranger got an answer")
			} else if e := net.Error(nil); errors.As(err, &e) && e.Timeout() {
				t.Fatalf("stranger %d of %d was kept", i-4, i+1)
			}
		}
		s.mu.Lock()
		n := len(s.clients)
		s.mu.Unlock()
		if n > 7 {
			t.Fatalf("%d connections are open", n)
		}
	}
	c.Usage(2, "read", 2)
	if e := next(t, got).(assign.Used); e.Proxy != 2 {
		t.Errorf("got %+v", e)
	}
	if err := c.Ping(soon); err != nil {
		t.Error(err)
	}
}

// Nor may those that only say they are collectors pile up: the one silent longest goes.
func TestTooManyCollectors(t *testing.T) {
	address, got, s := open(t, 1000)
	first := dial(t, address)
	first.Usage(1, "read", 1)
	next(t, got)
	var last *standin.Collector
	for i := range collectorsMost {
		last = dial(t, address)
		last.Usage(1, "read", i)
		next(t, got)
	}
	if err := first.Ping(soon); err == nil {
		t.Error("the first is still there")
	}
	if err := last.Ping(soon); err != nil {
		t.Error(err)
	}
	if !standin.Until(soon, func() bool { s.mu.Lock(); defer s.mu.Unlock(); return len(s.clients) == collectorsMost }) {
		t.Errorf("%d connections are open", len(s.clients))
	}
}
