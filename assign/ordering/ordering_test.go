package ordering_test

import (
	"math/rand"
	"slices"
	"testing"

	"madderhollow/assign/ordering"
	"madderhollow/internal/quickcheck"
)

const now = 100.0 // current time, in seconds

func TestMessageLines(t *testing.T) {
	for _, test := range []struct {
		name     string
		contents ordering.MessageContents
		overhead float64 // number of lines that the channel itself adds to the message
		want     float64 // number of lines that the message occupies in the channel
	}{
		{"one order", ordering.MessageContents{TableOrders: 1}, 1, 3},
		{"many orders, large overhead", ordering.MessageContents{TableOrders: 12}, 5, 18},
		{"no overhead", ordering.MessageContents{TableOrders: 12}, 0, 13},
		{"attachment of an empty table", ordering.MessageContents{Attachments: 1}, 5, 7},
		{"attachment of a table with lines", ordering.MessageContents{Attachments: 1, AttachedLines: 10}, 5, 17},
		{"changes and two attachments", ordering.MessageContents{TableOrders: 3, Attachments: 2, AttachedLines: 24}, 6, 36},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := ordering.MessageLines(test.contents, test.overhead); got != test.want {
				t.Errorf("got %g lines, want %g", got, test.want)
			}
		})
	}
}

func TestFits(t *testing.T) {
	for _, test := range []struct {
		name     string
		urgent   bool    // whether the message of 10 lines is urgent
		inFlight float64 // number of unacknowledged lines in the channel, whose in-flight limit is 100 lines
		want     bool    // whether the channel has room for the message
	}{
		{"ordinary, fills half of the limit", false, 40, true},
		{"ordinary, over half of the limit", false, 40.5, false},
		{"urgent, over half of the limit", true, 40.5, true},
		{"urgent, fills nine tenths of the limit", true, 80, true},
		{"urgent, over nine tenths of the limit", true, 80.5, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			message := ordering.Message{Lines: 10, Urgent: test.urgent}
			if got := ordering.Fits(message, test.inFlight, 100); got != test.want {
				t.Errorf("got %t, want %t", got, test.want)
			}
		})
	}
}

// TestInFlightLimit checks that the limit is the number of lines that the channel carries in half of the time available
// for urgent orders. It is at least the number of lines carried in one second, and at most the platform's queue limit.
func TestInFlightLimit(t *testing.T) {
	for _, test := range []struct {
		name    string
		channel ordering.Channel
		want    float64 // maximum number of lines in flight
	}{
		{"only the queue limit stated", ordering.Channel{QueueLimit: 1000}, 1000},
		{"no throughput stated", ordering.Channel{QueueLimit: 1000, UrgentGracePeriod: 3}, 1000},
		{"no grace period stated", ordering.Channel{QueueLimit: 1000, LinesPerSecond: 100}, 1000},
		{"half of the available time", ordering.Channel{QueueLimit: 1000, LinesPerSecond: 100, MaxTransitTime: 1, UrgentGracePeriod: 7}, 300},
		{"available time for more than the queue limit", ordering.Channel{QueueLimit: 200, LinesPerSecond: 100, MaxTransitTime: 1, UrgentGracePeriod: 7}, 200},
		{"no time available", ordering.Channel{QueueLimit: 1000, LinesPerSecond: 100, MaxTransitTime: 2, UrgentGracePeriod: 1}, 100},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := test.channel.InFlightLimit(); got != test.want {
				t.Errorf("got %g lines, want %g", got, test.want)
			}
		})
	}
}

func TestIsCongested(t *testing.T) {
	for _, test := range []struct {
		name        string
		urgentLines float64 // number of lines of all urgent messages together
		inFlight    float64 // number of unacknowledged lines in the channel, whose in-flight limit is 100 lines
		want        bool    // whether the channel has no room for all urgent messages
	}{
		{"all urgent messages fit", 50, 40, false},
		{"one line too many", 51, 40, true},
		{"no urgent message", 0, 90, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := ordering.IsCongested(test.urgentLines, test.inFlight, 100); got != test.want {
				t.Errorf("got %t, want %t", got, test.want)
			}
		})
	}
}

func TestCompare(t *testing.T) {
	messages := []ordering.Message{
		{Lines: 1, LastMessageAt: 7},
		{Lines: 2, Urgent: true, LastMessageAt: 9},
		{Lines: 3, LastMessageAt: 0},
		{Lines: 4, Urgent: true, LastMessageAt: 3},
		{Lines: 5, LastMessageAt: 7},
	}
	slices.SortStableFunc(messages, ordering.Compare)
	var got []float64
	for _, m := range messages {
		got = append(got, m.Lines)
	}
	if want := []float64{4, 2, 3, 1, 5}; !slices.Equal(got, want) {
		t.Errorf("got order %v, want %v: urgent first, then by the time of the last message, equal ones in their original order", got, want)
	}
}

// TestComparePrefersEarliestUrgentSince checks that the urgent message whose time limit started earliest is sent first,
// even if its proxy received the last message later than others. UrgentSince of an ordinary message is ignored.
func TestComparePrefersEarliestUrgentSince(t *testing.T) {
	messages := []ordering.Message{
		{Lines: 1, Urgent: true, UrgentSince: 5, LastMessageAt: 1},
		{Lines: 2, UrgentSince: 1, LastMessageAt: 1},
		{Lines: 3, Urgent: true, UrgentSince: 4, LastMessageAt: 3},
		{Lines: 4, Urgent: true, UrgentSince: 4, LastMessageAt: 2},
	}
	slices.SortStableFunc(messages, ordering.Compare)
	var got []float64
	for _, m := range messages {
		got = append(got, m.Lines)
	}
	if want := []float64{4, 3, 1, 2}; !slices.Equal(got, want) {
		t.Errorf("got order %v, want %v", got, want)
	}
}

func TestMessageAllowed(t *testing.T) {
	for _, test := range []struct {
		name             string
		recentMessages   int     // number of messages sent to the proxy within the message window
		sinceLastMessage float64 // time since the last message to the proxy, in seconds
		urgent           bool    // whether the next message is urgent
		maxMessages      int     // message limit of the proxy within the message window; 0 if there is no limit
		want             bool    // whether the next message may be sent
	}{
		{"ordinary, one below two thirds of the limit", 12, 1, false, 20, true},
		{"ordinary, two thirds of the limit", 13, 1, false, 20, false},
		{"urgent, two thirds of the limit", 13, 0, true, 20, true},
		{"urgent, two below the limit", 18, 0, true, 20, true},
		{"urgent, one below the limit", 19, 1, true, 20, false},
		{"ordinary, at the minimum interval", 1, 0.5, false, 20, true},
		{"ordinary, before the minimum interval", 1, 0.499, false, 20, false},
		{"urgent, before the minimum interval", 1, 0, true, 20, true},
		{"ordinary, no recent message", 0, 0, false, 20, true},
		{"ordinary, no limit", 1000, 0.5, false, 0, true},
		{"ordinary, no limit, before the minimum interval", 1000, 0.499, false, 0, false},
		{"urgent, no limit", 1000, 0, true, 0, true},
		{"ordinary, limit of one", 0, 0, false, 1, false},
		{"urgent, limit of one, at the limit", 1, 5, true, 1, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			history := ordering.MessageHistory{RecentMessages: test.recentMessages, LastMessageAt: now - test.sinceLastMessage, Now: now}
			if got := ordering.MessageAllowed(history, test.urgent, test.maxMessages); got != test.want {
				t.Errorf("got %t, want %t", got, test.want)
			}
		})
	}
}

func TestCountRecent(t *testing.T) {
	for _, test := range []struct {
		name  string
		times []float64 // times of messages, in seconds
		want  int       // number of the times within the last 10 s
	}{
		{"no times", nil, 0},
		{"at the start of the window", []float64{90}, 1},
		{"before the window", []float64{89.999}, 0},
		{"some within the window", []float64{80, 89, 90, 95, 100}, 3},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := ordering.CountRecent(test.times, now, 10); got != test.want {
				t.Errorf("got %d, want %d", got, test.want)
			}
		})
	}
}

// TestLimitsHoldForAnyMessages checks that the message limit and the in-flight limit hold for any number of ordinary
// and urgent messages. Within the message window, the number of messages to a proxy is at least one below its message
// limit, or one if the limit is one. The lines in flight never exceed nine tenths of the in-flight limit.
func TestLimitsHoldForAnyMessages(t *testing.T) {
	quickcheck.CheckSeeds(t, 500, func(seed int64) bool {
		random := rand.New(rand.NewSource(seed))
		maxMessages, window := 1+random.Intn(31), 1+9*random.Float64()
		maxRecent := max(1, maxMessages-1)
		const inFlightLimit = 100
		time, inFlight, times := now, 0.0, []float64(nil)
		for range 200 {
			time += random.ExpFloat64() / 10
			inFlight *= quickcheck.Fraction(random) // some of the lines in flight are acknowledged
			history := ordering.MessageHistory{RecentMessages: ordering.CountRecent(times, time, window), Now: time}
			if len(times) > 0 {
				history.LastMessageAt = times[len(times)-1]
			}
			message := ordering.Message{Lines: 1 + 20*random.Float64(), Urgent: random.Intn(2) == 0}
			if !ordering.MessageAllowed(history, message.Urgent, maxMessages) || !ordering.Fits(message, inFlight, inFlightLimit) {
				continue
			}
			times = append(times, time)
			inFlight += message.Lines
			recent := ordering.CountRecent(times, time, window)
			if recent > maxRecent || inFlight > 0.9*inFlightLimit {
				t.Errorf("seed %d: got %d messages within %g s and %g lines in flight, want at most %d and %g",
					seed, recent, window, inFlight, maxRecent, 0.9*inFlightLimit)
				return false
			}
		}
		return true
	})
}

// TestMessageAllowedAdmitsUrgentMessageAtAnyLimit guards against a message limit that blocks all urgent messages, so
// that the entries of a draining endpoint could never be removed. One urgent message must be allowed if no message was
// sent to the proxy within the message window.
func TestMessageAllowedAdmitsUrgentMessageAtAnyLimit(t *testing.T) {
	for _, limit := range []int{0, 1, 2, 3, 20} {
		if !ordering.MessageAllowed(ordering.MessageHistory{Now: 100}, true, limit) {
			t.Errorf("limit %d: got the first urgent message rejected, want it allowed", limit)
		}
	}
}
