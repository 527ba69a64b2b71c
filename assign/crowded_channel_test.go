package assign

import (
	"fmt"
	"math"
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

// drain notifies the assigner that the first count endpoints drain.
func (c *crowdedChannel) drain(count int) {
	var updated []Endpoint
	for i := range count {
		updated = append(updated, Endpoint{Zone: zoneByNumber(i), Name: fmt.Sprint("t", i), Weight: 1, State: Draining})
	}
	c.handle(EndpointUpdate{Endpoints: updated})
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
