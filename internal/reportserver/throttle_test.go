package reportserver

import (
	"testing"
	"time"
)

func TestTokenBucketLimitsLines(t *testing.T) {
	start := time.Now()
	for _, test := range []struct {
		name      string
		size      int           // size of each line in bytes
		interval  time.Duration // time between two lines
		lines     int
		wantPause bool // whether the client has to wait after the last line
	}{
		{"a burst of short lines", 0, 0, maxLineBurst, false},
		{"one line more than the burst", 0, 0, maxLineBurst + 1, true},
		{"lines at the highest rate", 0, time.Second / maxLineRate, 3 * maxLineBurst, false},
		{"lines at twice the highest rate", 0, time.Second / (2 * maxLineRate), 2*maxLineBurst + 1, true},
		{"four lines of 1 MiB at once", maxLineSize, 0, 4, false},
		{"five lines of 1 MiB at once", maxLineSize, 0, 5, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			bucket := newTokenBucket(maxLineRate, maxLineBurst, start)
			now := start
			var pause time.Duration
			for range test.lines {
				now = now.Add(test.interval)
				pause = bucket.take(now, lineTokens(test.size))
			}
			if paused := pause > 0; paused != test.wantPause {
				t.Errorf("got pause %v, want one: %t", pause, test.wantPause)
			}
			if pause > 0 && pause < minPause {
				t.Errorf("got pause %v, want at least %v", pause, minPause)
			}
		})
	}
}

// A client that waited for as long as take returned has to wait again only after further lines.
func TestTokenBucketEndsAfterPause(t *testing.T) {
	now := time.Now()
	bucket := newTokenBucket(maxLineRate, maxLineBurst, now)
	pause := bucket.take(now, lineTokens(10*maxLineSize))
	if again := bucket.take(now.Add(pause+time.Millisecond), 1); again != 0 {
		t.Errorf("got pause %v after a pause of %v, want none", again, pause)
	}
}

// Guards against reports of a collector that are dropped from a queue which other clients have filled. While the sink is
// crowded, the reports of all other clients wait, and those of a collector above its allowance.
func TestReportsWaitWhileSinkIsCrowded(t *testing.T) {
	const crowdedChecks = 3 // number of checks after which the sink is no longer crowded
	for _, test := range []struct {
		name       string
		age        time.Duration // time since the connection was accepted
		reports    int           // number of reports that the client has sent before
		wantChecks int           // number of times that the session checks whether the sink is crowded
	}{
		{"collector", time.Minute, 0, 1},
		{"collector at its allowance", time.Minute, crowdedReportBurst - 1, 1},
		{"collector above its allowance", time.Minute, crowdedReportBurst + 100, crowdedChecks + 1},
		{"new client", 0, 0, crowdedChecks + 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			checks := 0
			server := &Server{crowded: func() bool { checks++; return checks <= crowdedChecks }}
			client := newClientConn(nil)
			client.acceptedAt = client.acceptedAt.Add(-test.age)
			client.reportReceived.Store(true)
			session := newSession(server, client)
			for range test.reports {
				session.crowdedReports.take(client.acceptedAt.Add(test.age), 1)
			}
			if session.awaitRoom(t.Context()); checks != test.wantChecks {
				t.Errorf("got %d checks, want %d", checks, test.wantChecks)
			}
		})
	}
}
