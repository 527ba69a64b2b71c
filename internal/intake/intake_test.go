package intake

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"os"
	"reflect"
	"strings"
	"sync"
	"testing"
	"testing/quick"
	"time"

	"github.com/rs/zerolog"

	"madderhollow/assign"
	"madderhollow/internal/standin"
	"madderhollow/internal/testconfig"
	"madderhollow/internal/wire"
)

const soon = 5 * time.Second

var codec = wire.NewCodec(testconfig.New([]string{"a", "b"}, 8, "read"), time.Now())

// open starts a server that holds so many connections beside the spare ones.
func open(t *testing.T, most int) (address string, got chan assign.Event, s *Server) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	got = make(chan assign.Event, 10000)
	s = New(codec, func(_ context.Context, e assign.Event) error { got <- e; return nil }, most+spare, 32, zerolog.Nop())
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
			switch rng.Intn(8) {
			case 0:
				text.WriteString([]string{"", "{", "nonsense", `{"@type":"odd"}`, `{"@type":"usage"}`, "\x00\xff"}[rng.Intn(6)])
			case 1: // longer than the reader's buffer
				fmt.Fprintf(&text, usage, i%8, i, strings.Repeat(" ", rng.Intn(20000)))
				want = append(want, assign.ProxyTrafficReport{Proxy: i % 8, RequestClass: "read", Interval: 1, Requests: i})
			case 2: // longer than a message may be
				if i%10 == 0 {
					fmt.Fprintf(&text, usage, 1, 1, strings.Repeat(" ", lineMost))
				}
			default:
				fmt.Fprintf(&text, usage, i%8, i, "")
				want = append(want, assign.ProxyTrafficReport{Proxy: i % 8, RequestClass: "read", Interval: 1, Requests: i})
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

// Whoever does not join is let go in time, whatever it sends, and with a word where it reads; pings are answered and
// a collector's reports taken all the while.
func TestStrangersAreLetGo(t *testing.T) {
	address, got, s := open(t, 100)
	c := dial(t, address)
	again := func(text string) func(net.Conn) {
		return func(conn net.Conn) {
			for {
				if _, err := io.WriteString(conn, text); err != nil {
					return
				}
			}
		}
	}
	began := time.Now()
	var wg sync.WaitGroup
	for name, send := range map[string]func(net.Conn){
		"silence":       func(net.Conn) {},
		"half a line":   func(conn net.Conn) { io.WriteString(conn, `{"@type":"col`) },
		"endless line":  again("x"),
		"endless lines": again("x\n"),
		"endless pings": again("{\"@type\":\"ping\"}\n"),
		"byte by byte":  func(conn net.Conn) { again("{")(slow{conn}) },
		"HTTP":          func(conn net.Conn) { io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n") },
		"unknown zone":  func(conn net.Conn) { io.WriteString(conn, "{\"@type\":\"collector\",\"locality\":\"q\"}\n") },
		"no joining":    func(conn net.Conn) { fmt.Fprintf(conn, usage+"\n", 1, 99, "") },
		"a proxy":       func(conn net.Conn) { io.WriteString(conn, "{\"@type\":\"joined\",\"node\":1}\n") },
		"only a ping":   func(conn net.Conn) { io.WriteString(conn, "{\"@type\":\"ping\"}\n") },
		"lying collector": func(conn net.Conn) {
			io.WriteString(conn, "{\"@type\":\"collector\",\"locality\":\"a\"}\nx\nx\nx\nx\n")
		},
		"joined, half a line": func(conn net.Conn) {
			io.WriteString(conn, "{\"@type\":\"collector\",\"locality\":\"a\"}\n{\"@type\":")
		},
	} {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		go send(conn)
		wg.Add(1)
		go func() {
			defer wg.Done()
			conn.SetReadDeadline(began.Add(3 * time.Second))
			if text, err := io.ReadAll(conn); errors.Is(err, os.ErrDeadlineExceeded) && !strings.Contains(string(text), "refused") {
				t.Errorf("%s: it is owed an end, and got %q", name, text)
			}
		}()
	}
	for i := 0; time.Since(began) < joinWithin+lineWithin/2; i++ {
		asked := time.Now()
		if err := c.Ping(soon); err != nil || time.Since(asked) > time.Second {
			t.Fatalf("a pong after %v (%v)", time.Since(asked), err)
		}
		c.Usage(1, "read", i)
		if e := next(t, got).(assign.ProxyTrafficReport); e.Requests != i {
			t.Fatalf("got %+v", e)
		}
	}
	wg.Wait()
	if !standin.Until(soon, func() bool { s.mu.Lock(); defer s.mu.Unlock(); return len(s.clients) == 1 }) {
		t.Error("some are still there")
	}
}

// slow sends its bytes one by one.
type slow struct{ net.Conn }

func (c slow) Write(b []byte) (int, error) {
	time.Sleep(10 * time.Millisecond) // the stranger's pace
	return c.Conn.Write(b)
}

// Where descriptors are short strangers make room; collectors stay, and new ones are taken at once.
func TestStrangersMakeRoom(t *testing.T) {
	address, got, s := open(t, 5)
	c := dial(t, address)
	c.Usage(1, "read", 1)
	next(t, got)
	for range 20 {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
	}
	asked := time.Now()
	if err := dial(t, address).Ping(soon); err != nil || time.Since(asked) > joinWithin {
		t.Errorf("a collector joined after %v (%v)", time.Since(asked), err)
	}
	s.mu.Lock()
	if n := len(s.clients); n > 5 {
		t.Errorf("%d connections are open", n)
	}
	s.mu.Unlock()
	if err := c.Ping(soon); err != nil {
		t.Error(err)
	}
}

// A collector whose connection goes on with what cannot be read loses it; single bad lines among good ones end nothing.
func TestUnreadableCollectorsEnd(t *testing.T) {
	address, got, _ := open(t, 5)
	c := dial(t, address)
	for i := range 3 * badMost {
		c.Send("{")
		c.Send(`{"@type":"heard","locality":"b","endpoint":"s","total":1,"errors":0,"rtt":1,"interval":1000}`) // not its zone
		c.Usage(1, "read", i)
		if e := next(t, got).(assign.ProxyTrafficReport); e.Requests != i {
			t.Fatalf("got %+v", e)
		}
	}
	for range badMost {
		c.Send("{")
	}
	if err := c.Ping(soon); err == nil {
		t.Error("it is still there")
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

// The lines under way of all collectors share a part of the memory: what finds no room is skipped, the lines behind it
// count, and when they are through nothing is held.
func TestLinesUnderWayShareTheMemory(t *testing.T) {
	address, got, s := open(t, 100)
	long := `{"@type":"usage","node":1,"route":"read","total":1,"errors":0,"interval":1000,"more":"` + strings.Repeat("x", lineMost-200)
	fit := int(s.bytes) / len(long)
	var all []*standin.Collector
	for i := range fit + 2 {
		c := dial(t, address)
		if err := c.Write(long); err != nil {
			t.Fatal(err)
		}
		all = append(all, c)
		held := int64(min(i+1, fit)) * int64(len(long)-1024) // what the reader's buffer holds is not counted
		if !standin.Until(soon, func() bool { return s.held.Load() >= held }) {
			t.Fatalf("of %d lines %d bytes are held", i+1, s.held.Load())
		}
	}
	lines, behind := 0, 0
	finish := func(some []*standin.Collector, events int) {
		for i, c := range some {
			if err := c.Write("\"}\n" + fmt.Sprintf(usage, i%8, 100+i, "") + "\n"); err != nil {
				t.Fatal(err)
			}
		}
		for range events {
			if u := next(t, got).(assign.ProxyTrafficReport); u.Requests == 1 {
				lines++
			} else {
				behind++
			}
		}
	}
	finish(all[fit:], len(all)-fit) // while the others are under way still: these have no room
	if lines > 0 {
		t.Errorf("%d long lines came that had no room", lines)
	}
	finish(all[:fit], 2*fit)
	if !standin.Until(soon, func() bool { return s.held.Load() == 0 }) {
		t.Errorf("%d bytes are held", s.held.Load())
	}
	if lines != fit {
		t.Errorf("%d long lines came, %d have room", lines, fit)
	}
}
