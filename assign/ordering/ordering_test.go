package ordering_test

import (
	"math/rand"
	"slices"
	"testing"

	"madderhollow/assign/ordering"
	"madderhollow/internal/quickcheck"
)

const now = 100.0 // s

func TestLines(t *testing.T) {
	for _, test := range []struct {
		name     string
		orders   int
		overhead float64
		want     float64
	}{
		{"one order", 1, 1, 3},
		{"many orders, much overhead", 12, 5, 18},
		{"no overhead", 12, 0, 13},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := ordering.Lines(test.orders, test.overhead); got != test.want {
				t.Errorf("got %g lines, want %g", got, test.want)
			}
		})
	}
}

func TestFits(t *testing.T) {
	for _, test := range []struct {
		name     string
		urgent   bool
		inFlight float64
		want     bool
	}{
		{"ordinary, fills half of the queue", false, 40, true},
		{"ordinary, over half of the queue", false, 40.5, false},
		{"urgent, over half of the queue", true, 40.5, true},
		{"urgent, fills nine tenths of the queue", true, 80, true},
		{"urgent, over nine tenths of the queue", true, 80.5, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			message := ordering.Message{Lines: 10, Urgent: test.urgent}
			if got := ordering.Fits(message, test.inFlight, 100); got != test.want {
				t.Errorf("got %t, want %t", got, test.want)
			}
		})
	}
}

// The queue takes half of the time that is left for urgent orders, at least a second of what the channel carries, and never
// more lines than the platform allows.
func TestChannelLimit(t *testing.T) {
	for _, test := range []struct {
		name    string
		channel ordering.Channel
		want    float64
	}{
		{"nothing stated but the limit", ordering.Channel{QueueLimit: 1000}, 1000},
		{"no pace stated", ordering.Channel{QueueLimit: 1000, UrgentGrace: 3}, 1000},
		{"no grace stated", ordering.Channel{QueueLimit: 1000, LinesPerSecond: 100}, 1000},
		{"half of the time", ordering.Channel{QueueLimit: 1000, LinesPerSecond: 100, MaxTransit: 1, UrgentGrace: 7}, 300},
		{"time for more than the limit", ordering.Channel{QueueLimit: 200, LinesPerSecond: 100, MaxTransit: 1, UrgentGrace: 7}, 200},
		{"hardly any time", ordering.Channel{QueueLimit: 1000, LinesPerSecond: 100, MaxTransit: 2, UrgentGrace: 1}, 100},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := test.channel.Limit(); got != test.want {
				t.Errorf("got %g lines, want %g", got, test.want)
			}
		})
	}
}

func TestCrowded(t *testing.T) {
	for _, test := range []struct {
		name     string
		lines    float64
		inFlight float64
		want     bool
	}{
		{"all urgent messages fit", 50, 40, false},
		{"one line too many", 51, 40, true},
		{"none is urgent", 0, 90, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := ordering.Crowded(test.lines, test.inFlight, 100); got != test.want {
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
		t.Errorf("got order %v, want %v: urgent first, then the longest waiting, equals as they were", got, want)
	}
}

// The urgent message whose limit runs longest goes first, whenever its proxy received the last one; that of an ordinary
// message does not count.
func TestComparePrefersLongestRunningLimit(t *testing.T) {
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

func TestAllowed(t *testing.T) {
	for _, test := range []struct {
		name        string
		recent      int
		since       float64 // last message, s
		urgent      bool
		maxMessages int
		want        bool
	}{
		{"ordinary, two thirds of the limit less one", 12, 1, false, 20, true},
		{"ordinary, two thirds of the limit", 13, 1, false, 20, false},
		{"urgent, two thirds of the limit", 13, 0, true, 20, true},
		{"urgent, limit less two", 18, 0, true, 20, true},
		{"urgent, limit less one", 19, 1, true, 20, false},
		{"ordinary, at the least interval", 1, 0.5, false, 20, true},
		{"ordinary, before the least interval", 1, 0.499, false, 20, false},
		{"urgent, before the least interval", 1, 0, true, 20, true},
		{"ordinary, none recent", 0, 0, false, 20, true},
		{"ordinary, no limit", 1000, 0.5, false, 0, true},
		{"ordinary, no limit, before the least interval", 1000, 0.499, false, 0, false},
		{"urgent, no limit", 1000, 0, true, 0, true},
		{"ordinary, limit of one", 0, 0, false, 1, false},
		{"urgent, limit of one, at the limit", 1, 5, true, 1, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			history := ordering.History{Recent: test.recent, LastMessageAt: now - test.since, Now: now}
			if got := ordering.Allowed(history, test.urgent, test.maxMessages); got != test.want {
				t.Errorf("got %t, want %t", got, test.want)
			}
		})
	}
}

func TestCountRecent(t *testing.T) {
	for _, test := range []struct {
		name  string
		times []float64 // s
		want  int
	}{
		{"none", nil, 0},
		{"at the window's start", []float64{90}, 1},
		{"before the window", []float64{89.999}, 0},
		{"some within", []float64{80, 89, 90, 95, 100}, 3},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := ordering.CountRecent(test.times, now, 10); got != test.want {
				t.Errorf("got %d, want %d", got, test.want)
			}
		})
	}
}

// No proxy receives more messages within the window than the limit less one, or than a limit of one, however many are tried
// and urgent, and the channel never holds more than nine tenths of its queue.
func TestLimitsHoldForAnyMessages(t *testing.T) {
	quickcheck.Seeds(t, 500, func(seed int64) bool {
		random := rand.New(rand.NewSource(seed))
		maxMessages, window := 1+random.Intn(31), 1+9*random.Float64()
		most := max(1, maxMessages-1)
		const queueLimit = 100
		time, inFlight, times := now, 0.0, []float64(nil)
		for range 200 {
			time += random.ExpFloat64() / 10
			inFlight *= quickcheck.Fraction(random) // acknowledged since
			history := ordering.History{Recent: ordering.CountRecent(times, time, window), Now: time}
			if len(times) > 0 {
				history.LastMessageAt = times[len(times)-1]
			}
			message := ordering.Message{Lines: 1 + 20*random.Float64(), Urgent: random.Intn(2) == 0}
			if !ordering.Allowed(history, message.Urgent, maxMessages) || !ordering.Fits(message, inFlight, queueLimit) {
				continue
			}
			times = append(times, time)
			inFlight += message.Lines
			recent := ordering.CountRecent(times, time, window)
			if recent > most || inFlight > 0.9*queueLimit {
				t.Errorf("seed %d: got %d messages within %g s and %g lines in flight, want at most %d and %g",
					seed, recent, window, inFlight, most, 0.9*queueLimit)
				return false
			}
		}
		return true
	})
}

// Whatever the limit, the removal of a draining endpoint's entries must be able to leave: one urgent message is allowed
// where none was sent within the window.
func TestAllowedAdmitsUrgentMessageAtAnyLimit(t *testing.T) {
	for _, limit := range []int{0, 1, 2, 3, 20} {
		if !ordering.Allowed(ordering.History{Now: 100}, true, limit) {
			t.Errorf("limit %d: got the first urgent message held back, want it allowed", limit)
		}
	}
}
