package ordering_test

import (
	"math"
	"math/rand"
	"testing"

	"madderhollow/assign/ordering"
	"madderhollow/internal/quickcheck"
)

func TestCarriedMessages(t *testing.T) {
	const acknowledgmentTime = 0.5 // time within which acknowledgments arrive, in seconds
	for _, test := range []struct {
		name            string
		acknowledgments [][2]float64 // time of the message and time of its acknowledgment, in seconds
		now             float64
		want            float64 // messages sent before this time are carried, in seconds
	}{
		{"no acknowledgment", nil, 100, 0},
		{"just before the acknowledgment time", [][2]float64{{10, 11}}, 11.499, 0},
		{"at the acknowledgment time", [][2]float64{{10, 11}}, 11.5, 10},
		{"the newer of two does not count yet", [][2]float64{{10, 11}, {10.2, 11.2}}, 11.6, 10},
		{"both count", [][2]float64{{10, 11}, {10.2, 11.2}}, 11.7, 10.2},
		{"a late acknowledgment of an earlier message", [][2]float64{{10, 11}, {9, 11.2}}, 12, 10},
	} {
		t.Run(test.name, func(t *testing.T) {
			var carried ordering.CarriedMessages
			for _, acknowledgment := range test.acknowledgments {
				carried = carried.Acknowledge(acknowledgment[0], acknowledgment[1])
			}
			if !carriedExactlyBefore(carried.Advance(test.now, acknowledgmentTime), test.want) {
				t.Errorf("got other messages carried, want exactly those that were sent before %g s", test.want)
			}
		})
	}
}

// TestCarriedMessagesAreThoseBeforeAcknowledged checks that exactly those messages count as carried that were sent before
// one that was acknowledged at least the acknowledgment time ago, for random acknowledgments in any order.
func TestCarriedMessagesAreThoseBeforeAcknowledged(t *testing.T) {
	quickcheck.CheckSeeds(t, 2000, func(seed int64) bool {
		random := rand.New(rand.NewSource(seed))
		acknowledgmentTime := quickcheck.LogUniform(random, 0.01, 10)
		type proof struct{ sentAt, receivedAt float64 }
		var carried ordering.CarriedMessages
		var proofs []proof
		now := 100.0
		for range 50 {
			now += random.Float64()
			if random.Intn(2) == 0 {
				p := proof{now - 5*random.Float64(), now}
				proofs = append(proofs, p)
				carried = carried.Acknowledge(p.sentAt, p.receivedAt)
			}
			carried = carried.Advance(now, acknowledgmentTime)
			newest := 0.0
			for _, p := range proofs {
				if now-p.receivedAt >= acknowledgmentTime {
					newest = math.Max(newest, p.sentAt)
				}
			}
			if !carriedExactlyBefore(carried, newest) {
				t.Errorf("seed %d, at %g s: got other messages carried, want exactly those that were sent before %g s", seed, now, newest)
				return false
			}
		}
		return true
	})
}

// carriedExactlyBefore reports whether exactly those messages are carried that were sent before a time in seconds.
func carriedExactlyBefore(carried ordering.CarriedMessages, sentAt float64) bool {
	return !carried.Contains(sentAt) && (sentAt == 0 || carried.Contains(math.Nextafter(sentAt, 0)))
}

func TestProbeInterval(t *testing.T) {
	for _, test := range []struct {
		name    string
		channel ordering.Channel
		want    float64 // wanted interval, in seconds
	}{
		{"queue limit of 1.5 s, transit of 0.9 s", ordering.Channel{QueueLimit: 2100, LinesPerSecond: 1400, MaxTransitTime: 0.9}, 2.4},
		{"limit by the grace of a drain", ordering.Channel{QueueLimit: 4200, LinesPerSecond: 1400, MaxTransitTime: 0.9, UrgentGracePeriod: 3.9}, 2.4},
		{"transit not stated", ordering.Channel{QueueLimit: 1400, LinesPerSecond: 1400}, 4},
		{"lines per second not stated", ordering.Channel{QueueLimit: 1400, MaxTransitTime: 0.9}, 3.9},
		{"nothing stated", ordering.Channel{QueueLimit: math.Inf(1)}, 6},
		{"a channel of almost no lines per second", ordering.Channel{QueueLimit: 1400, LinesPerSecond: 1e-310}, 60},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := test.channel.ProbeInterval(); math.Abs(got-test.want) > 1e-9 {
				t.Errorf("got %g s, want %g s", got, test.want)
			}
		})
	}
}

func TestProbeTimer(t *testing.T) {
	timer := ordering.NewProbeTimer(2).AfterMessage(100, false)
	for _, test := range []struct {
		name     string
		timer    ordering.ProbeTimer
		now      float64 // time of the question, in seconds
		inFlight float64 // number of lines in flight
		want     bool    // whether a probe is due
	}{
		{"just before the interval", timer, 101.999, 1400, false},
		{"at the interval", timer, 102, 1400, true},
		{"nothing in flight", timer, 200, 0, false},
		{"after a probe, before twice the interval", timer.AfterMessage(102, true), 105.999, 1400, false},
		{"after a probe, at twice the interval", timer.AfterMessage(102, true), 106, 1400, true},
		{"after a probe and an acknowledgment", timer.AfterMessage(102, true).AfterSignOfLife(), 104, 1400, true},
		{"after another message", timer.AfterMessage(101, false), 102.999, 1400, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := test.timer.Due(test.now, test.inFlight); got != test.want {
				t.Errorf("got due %t, want %t", got, test.want)
			}
		})
	}
}

// TestUnansweredProbesAreFew checks that a channel that carries nothing receives at most four probes in the first 30
// initial intervals, and that there is a probe at least every minute.
func TestUnansweredProbesAreFew(t *testing.T) {
	quickcheck.CheckSeeds(t, 500, func(seed int64) bool {
		random := rand.New(rand.NewSource(seed))
		interval := quickcheck.LogUniform(random, 0.1, 60)
		timer := ordering.NewProbeTimer(interval)
		start, lastProbeAt, probes := 1000.0, 1000.0, 0
		timer = timer.AfterMessage(start, false)
		for now := start; now < start+30*interval; now += interval / 4 {
			if !timer.Due(now, 1) {
				continue
			}
			timer = timer.AfterMessage(now, true)
			probes++
			if now-lastProbeAt > 60+interval/4 {
				t.Errorf("seed %d, interval %g s: got %g s without a probe, want a minute at most", seed, interval, now-lastProbeAt)
				return false
			}
			lastProbeAt = now
		}
		if interval < 2 && probes > 4 {
			t.Errorf("seed %d, interval %g s: got %d probes in 30 intervals, want 4 at most", seed, interval, probes)
			return false
		}
		return true
	})
}
