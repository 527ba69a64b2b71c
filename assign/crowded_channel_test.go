package assign

import (
	"fmt"
	"math"
	"math/rand"
	"slices"
	"testing"
)

// crowdedChannel plays an assigner with many proxies on a channel that carries the lines of all messages one after
// another at the stated pace, as the protocol counts them. Proxies acknowledge a message when it arrives.
type crowdedChannel struct {
	config       Config
	assigner     *Assigner
	now          float64 // simulated time, s
	counter      *lineCounter
	freeAt       float64 // time at which the channel has carried all queued lines, s
	mostQueued   float64 // highest number of lines that waited in the channel
	transits     []channelTransit
	lastSequence int
	attachedAt   map[int]float64 // time at which the channel had carried the message with a proxy's tables, s
}

// channelTransit is a message on its way to its proxy.
type channelTransit struct {
	acknowledgment Acknowledged
	arrivesAt      float64 // time at which the message arrives, s
	lines          float64 // lines that the message cost in the channel
}

const (
	crowdedBatchInterval = 0.02 // time between two batches, s
	// socketAllowance is the time by which the limits are longer where the assigner is a process on sockets, s.
	socketAllowance = 0.3
)

// newCrowdedChannel returns a channel to proxies that are connected and hold only their default tables. The first half
// of the endpoints' numbers are spread over all zones, as are the proxies.
func newCrowdedChannel(config Config, proxies, endpoints int) *crowdedChannel {
	config.ProxyCount = float64(proxies)
	channel := &crowdedChannel{config: config, assigner: New(1, config), now: modelStartTime, counter: newLineCounter(config.Channel.MessageOverhead),
		attachedAt: map[int]float64{}}
	var listed []Endpoint
	for i := range endpoints {
		listed = append(listed, Endpoint{Zone: zoneByNumber(i), Name: fmt.Sprint("t", i), Weight: 1})
	}
	events := []Event{EndpointUpdate{Full: true, Endpoints: listed}}
	for i := range proxies {
		events = append(events, ProxyConnected{Proxy: i, Zone: zoneByNumber(i), TypicalRate: 6, DefaultTablesOnly: true})
	}
	channel.handle(events...)
	return channel
}

// handle passes events to the assigner, after the acknowledgments of the messages that have arrived, and puts its orders
// into the channel.
func (c *crowdedChannel) handle(events ...Event) {
	var arrived []Event
	remaining := c.transits[:0]
	for _, transit := range c.transits {
		if transit.arrivesAt <= c.now {
			arrived = append(arrived, transit.acknowledgment)
			continue
		}
		remaining = append(remaining, transit)
	}
	c.transits = remaining
	orders := c.assigner.Handle(c.now, append(arrived, events...))
	for _, order := range orders {
		if request, ok := order.(AcknowledgmentRequest); ok {
			c.lastSequence = request.Sequence
		}
	}
	for _, message := range c.counter.apply(orders) {
		c.freeAt = math.Max(c.freeAt, c.now) + message.lines/c.config.Channel.LinesPerSecond
		c.transits = append(c.transits, channelTransit{
			acknowledgment: Acknowledged{Proxy: message.proxy, Sequence: c.lastSequence},
			arrivesAt:      c.freeAt + c.config.Channel.MeanTransitTime,
			lines:          message.lines,
		})
		if message.attaches > 0 {
			c.attachedAt[message.proxy] = c.freeAt
		}
	}
	c.mostQueued = math.Max(c.mostQueued, (c.freeAt-c.now)*c.config.Channel.LinesPerSecond)
}

// run advances the clock in batches.
func (c *crowdedChannel) run(seconds float64) {
	for range int(math.Round(seconds / crowdedBatchInterval)) {
		c.now += crowdedBatchInterval
		c.handle()
	}
}

// list notifies the assigner of the present state of endpoints, by number. An endpoint that is ready starts now.
func (c *crowdedChannel) list(state EndpointState, numbers ...int) {
	var updated []Endpoint
	for _, i := range numbers {
		updated = append(updated, Endpoint{Zone: zoneByNumber(i), Name: fmt.Sprint("t", i), Weight: 1, State: state, StartedAt: c.now})
	}
	c.handle(EndpointUpdate{Endpoints: updated})
}

// connect passes proxies to the assigner as connected. They are not disconnected before, as in the resync after a break
// of the event stream.
func (c *crowdedChannel) connect(defaultTablesOnly bool, proxies ...int) {
	var events []Event
	for _, i := range proxies {
		events = append(events, ProxyConnected{Proxy: i, Zone: zoneByNumber(i), TypicalRate: 6, DefaultTablesOnly: defaultTablesOnly})
	}
	c.handle(events...)
}

// disconnect ends the stream of a proxy. Messages on their way to the proxy are lost.
func (c *crowdedChannel) disconnect(proxy int) {
	c.counter.disconnect(proxy)
	c.transits = slices.DeleteFunc(c.transits, func(transit channelTransit) bool { return transit.acknowledgment.Proxy == proxy })
	c.handle(ProxyDisconnected{Proxy: proxy})
}

// linesInTransit returns the lines of the messages whose acknowledgments the assigner has not received.
func (c *crowdedChannel) linesInTransit() (lines float64) {
	for _, transit := range c.transits {
		lines += transit.lines
	}
	return lines
}

// drain notifies the assigner that the first count endpoints drain.
func (c *crowdedChannel) drain(count int) {
	c.list(Draining, numbersBelow(count)...)
}

// numbersBelow returns the numbers from 0 up to, but not including, n.
func numbersBelow(n int) []int {
	numbers := make([]int, n)
	for i := range numbers {
		numbers[i] = i
	}
	return numbers
}

// slowChannel returns the settings of a deployment whose channel is slow for the grace of a drain: whole first tables
// for all proxies of two assigners take longer than the grace.
func slowChannel() Config {
	config := modelConfig()
	config.DrainGracePeriod = 1.5
	config.Channel = ChannelConfig{QueueLimit: 10000, LinesPerSecond: 1400, MessageOverhead: 6, MessageWindow: 10,
		MeanTransitTime: 0.35, MaxTransitTime: 0.875}
	return config
}

// Guards against a drain that reaches default tables late: after the deaths of other assigners, one assigner has twice
// the usual proxies, and sent each of them whole tables at the first drain.
func TestDrainReachesManyDefaultTablesInTime(t *testing.T) {
	const proxies = 78
	config := slowChannel()
	channel := newCrowdedChannel(config, proxies, 112)
	channel.run(4)
	notifiedAt := channel.now
	channel.drain(40)
	channel.run(4)
	latest := config.DrainGracePeriod + socketAllowance - config.Channel.MaxTransitTime
	late, last := 0, 0.0
	for proxy := range proxies {
		carriedAt, attached := channel.attachedAt[proxy]
		if !attached {
			t.Fatalf("got no assigned table at proxy %d, want one", proxy)
		}
		last = math.Max(last, carriedAt-notifiedAt)
		if carriedAt-notifiedAt > latest {
			late++
		}
	}
	if late > 0 {
		t.Errorf("got %d of %d first tables carried after %.3f s, the last after %.3f s; want none", late, proxies, latest, last)
	}
}

// Guards against a queue limit that is exceeded after a break of the event stream: all tables were sent again while they
// were still attached, which costs more lines than the assigner counted.
func TestQueueLimitHoldsAfterBrokenEventStream(t *testing.T) {
	const proxies = 130
	config := modelConfig()
	config.RequestClasses = config.RequestClasses[:2]
	config.DrainGracePeriod = 4
	config.Channel = ChannelConfig{QueueLimit: 4200, LinesPerSecond: 2100, MessageOverhead: 3, MessageWindow: 10,
		MeanTransitTime: 0.2, MaxTransitTime: 0.5}
	channel := newCrowdedChannel(config, proxies, 114)
	channel.run(4)
	channel.list(Ready, 90, 91, 92, 93, 94, 95, 96, 97, 98) // restarted endpoints, so that tables have rate limits
	channel.run(8)
	channel.drain(6)
	channel.run(0.1)
	channel.connect(false, numbersBelow(proxies)...)
	channel.run(10)
	if channel.mostQueued > config.Channel.QueueLimit {
		t.Errorf("got %.0f lines in the queue of the channel, want at most %g", channel.mostQueued, config.Channel.QueueLimit)
	}
}

// Guards against a cost that the assigner counts unlike the protocol, in either direction.
func TestLinesInFlightMatchProtocol(t *testing.T) {
	for seed := range int64(20) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewSource(seed))
			channel := newCrowdedChannel(slowChannel(), 24, 36)
			for step := range 150 {
				channel.changeRandomly(random)
				channel.run(0.2 * random.Float64())
				if got, want := channel.assigner.Stats().LinesInFlight, channel.linesInTransit(); got != want {
					t.Fatalf("step %d, after %.2f s: got %g lines in flight, want %g", step, channel.now-modelStartTime, got, want)
				}
			}
		})
	}
}

// changeRandomly drains or starts an endpoint, breaks or resumes the stream of a proxy, or passes some proxies to the
// assigner as connected.
func (c *crowdedChannel) changeRandomly(random *rand.Rand) {
	endpoint, proxy := random.Intn(36), random.Intn(24)
	switch random.Intn(6) {
	case 0:
		c.list(Draining, endpoint)
	case 1, 2:
		c.list(Ready, endpoint)
	case 3:
		c.disconnect(proxy)
		c.connect(random.Intn(2) == 0, proxy)
	case 4:
		c.connect(false, random.Perm(24)[:random.Intn(24)]...)
	case 5:
		c.handle(ProxyTrafficReport{Proxy: proxy, RequestClass: "read", Interval: 1, Requests: random.Intn(40)})
	}
}
