package reportserver

import (
	"fmt"
	"io"
	"math/rand"
	"reflect"
	"strings"
	"testing"

	"madderhollow/assign"
	"madderhollow/internal/collectortest"
	"madderhollow/internal/eventually"
	"madderhollow/internal/quickcheck"
)

// randomReports draws valid lines, some of them long, among malformed ones, and returns them with the expected events.
func randomReports(random *rand.Rand) (text string, want []assign.Event) {
	var lines strings.Builder
	for i := range 30 {
		event := assign.ProxyTrafficReport{Proxy: i % 8, RequestClass: "read", Interval: 1, Requests: i}
		switch random.Intn(8) {
		case 0:
			lines.WriteString([]string{"", "{", "nonsense", unknownTypeLine, missingFieldsLine, "\x00\xff"}[random.Intn(6)])
		case 1: // longer than the read buffer
			fmt.Fprintf(&lines, proxyReportFormat, i%8, i, strings.Repeat(" ", random.Intn(20000)))
			want = append(want, event)
		case 2: // too long
			if i%10 == 0 {
				fmt.Fprintf(&lines, proxyReportFormat, 1, 1, strings.Repeat(" ", maxLineSize))
			}
		default:
			fmt.Fprintf(&lines, proxyReportFormat, i%8, i, "")
			want = append(want, event)
		}
		lines.WriteString("\n")
	}
	return lines.String(), want
}

// Each valid report arrives once and in order, however the bytes are divided; malformed lines are skipped.
func TestLineReaderIsIndependentOfChunks(t *testing.T) {
	address, events, _ := startServer(t, 100)
	property := func(seed int64) bool {
		random := rand.New(rand.NewSource(seed))
		reports, want := randomReports(random)
		conn := connect(t, address)
		for text := collectorLine("b") + "\n" + reports; text != ""; {
			n := min(len(text), 1+random.Intn(1<<uint(random.Intn(18))))
			if _, err := io.WriteString(conn, text[:n]); err != nil {
				t.Fatal(err)
			}
			text = text[n:]
		}
		for i, event := range want {
			if got := next(t, events); !reflect.DeepEqual(got, event) {
				t.Logf("seed %d: event %d: got %+v, want %+v", seed, i, got, event)
				return false
			}
		}
		if extra := len(events); extra > 0 {
			t.Logf("seed %d: got %d events more than the %d expected", seed, extra, len(want))
			return false
		}
		return true
	}
	quickcheck.Seeds(t, 20, property)
}

// The lines that are being read share the memory budget. A line that does not fit is skipped, the lines after it are read,
// and at the end all bytes are released.
func TestLinesShareMemoryBudget(t *testing.T) {
	const longReport = 1 // requests of the long lines; the short lines after them have 100 and more
	address, events, server := startServer(t, 100)
	long := fmt.Sprintf(longReportFormat, longReport) +
		strings.Repeat("x", maxLineSize-200)
	fit := int(server.lineBudget.limit) / len(long)
	var collectors []*collectortest.Collector
	for i := range fit + 2 {
		collector := dial(t, address)
		if err := collector.Write(long); err != nil {
			t.Fatal(err)
		}
		collectors = append(collectors, collector)
		reserved := int64(min(i+1, fit)) * int64(len(long)-readBufferSize) // the read buffer is not reserved
		if !eventually.True(timeout, func() bool { return server.lineBudget.used.Load() >= reserved }) {
			t.Fatalf("%d lines: got %d reserved bytes, want at least %d", i+1, server.lineBudget.used.Load(), reserved)
		}
	}
	finish := func(some []*collectortest.Collector, reports int) (longLines int) {
		for i, collector := range some {
			if err := collector.Write(longReportEnd + "\n" + fmt.Sprintf(proxyReportFormat, i%8, 100+i, "") + "\n"); err != nil {
				t.Fatal(err)
			}
		}
		for range reports {
			if nextRequests(t, events) == longReport {
				longLines++
			}
		}
		return longLines
	}
	if n := finish(collectors[fit:], len(collectors)-fit); n > 0 { // while the others are still being read
		t.Errorf("over the budget: got %d long lines, want none", n)
	}
	if n := finish(collectors[:fit], 2*fit); n != fit {
		t.Errorf("within the budget: got %d long lines, want %d", n, fit)
	}
	if !eventually.True(timeout, func() bool { return server.lineBudget.used.Load() == 0 }) {
		t.Errorf("at the end: got %d reserved bytes, want 0", server.lineBudget.used.Load())
	}
}
