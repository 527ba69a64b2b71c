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

// randomReports returns random lines and the events that the server must pass to its sink for them. The lines are proxy
// traffic reports, some of them longer than the read buffer, mixed with malformed and oversized lines.
func randomReports(random *rand.Rand) (text string, want []assign.Event) {
	var lines strings.Builder
	for i := range 30 {
		event := assign.ProxyTrafficReport{Proxy: i % 8, RequestClass: "read", Interval: 1, Requests: i}
		switch random.Intn(8) {
		case 0:
			lines.WriteString([]string{"", "{", "nonsense", unknownTypeLine, missingFieldsLine, "\x00\xff"}[random.Intn(6)])
		case 1: // adds a valid report that can be longer than the read buffer
			fmt.Fprintf(&lines, proxyReportFormat, i%8, i, strings.Repeat(" ", random.Intn(20000)))
			want = append(want, event)
		case 2: // adds a line that exceeds maxLineSize in some cases, otherwise an empty line
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

// However TCP divides the bytes of the lines into segments, each valid report must be passed to the sink exactly once
// and in order, and malformed lines must be skipped.
func TestLineReaderIsIndependentOfChunks(t *testing.T) {
	address, events, _ := startServer(t, 100)
	property := func(seed int64) bool {
		random := rand.New(rand.NewSource(seed))
		reports, want := randomReports(random)
		conn := dialUnidentified(t, address)
		for text := collectorLine("b") + "\n" + reports; text != ""; {
			n := min(len(text), 1+random.Intn(1<<uint(random.Intn(18))))
			if _, err := io.WriteString(conn, text[:n]); err != nil {
				t.Fatal(err)
			}
			text = text[n:]
		}
		for i, event := range want {
			if got := nextEvent(t, events); !reflect.DeepEqual(got, event) {
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
	quickcheck.CheckSeeds(t, 20, property)
}

// All incomplete lines share the memory budget. A line that exceeds the budget must be skipped, and the next line of
// the same connection must be read. When all lines are complete, no byte of the budget may remain reserved.
func TestLinesShareMemoryBudget(t *testing.T) {
	const longReportRequests = 1 // number of requests that each long report states; each short one states at least 100
	address, events, server := startServer(t, 100)
	unfinishedLongLine := fmt.Sprintf(longReportStartFormat, longReportRequests) +
		strings.Repeat("x", maxLineSize-200)
	fittingLines := int(server.lineBudget.limitBytes) / len(unfinishedLongLine)
	var collectors []*collectortest.Collector
	for i := range fittingLines + 2 {
		collector := dialCollector(t, address)
		if err := collector.Write(unfinishedLongLine); err != nil {
			t.Fatal(err)
		}
		collectors = append(collectors, collector)
		// The bytes in the read buffers of the connections are not reserved in the budget.
		reserved := int64(min(i+1, fittingLines)) * int64(len(unfinishedLongLine)-readBufferSize)
		if !eventually.True(testTimeout, func() bool { return server.lineBudget.usedBytes.Load() >= reserved }) {
			t.Fatalf("%d lines: got %d reserved bytes, want at least %d", i+1, server.lineBudget.usedBytes.Load(), reserved)
		}
	}
	finishLines := func(subset []*collectortest.Collector, reports int) (longLines int) {
		for i, collector := range subset {
			if err := collector.Write(longReportEnd + "\n" + fmt.Sprintf(proxyReportFormat, i%8, 100+i, "") + "\n"); err != nil {
				t.Fatal(err)
			}
		}
		for range reports {
			if nextReportedRequests(t, events) == longReportRequests {
				longLines++
			}
		}
		return longLines
	}
	// The lines of collectors[:fittingLines] are still incomplete here and occupy the budget.
	if n := finishLines(collectors[fittingLines:], len(collectors)-fittingLines); n > 0 {
		t.Errorf("over the budget: got %d long lines, want none", n)
	}
	if n := finishLines(collectors[:fittingLines], 2*fittingLines); n != fittingLines {
		t.Errorf("within the budget: got %d long lines, want %d", n, fittingLines)
	}
	if !eventually.True(testTimeout, func() bool { return server.lineBudget.usedBytes.Load() == 0 }) {
		t.Errorf("at the end: got %d reserved bytes, want 0", server.lineBudget.usedBytes.Load())
	}
}
