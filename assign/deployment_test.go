package assign

import (
	"fmt"
	"math"
	"slices"
	"testing"
)

// deploymentModel simulates a large deployment that carries no requests. It consists of an assigner, its proxies, and
// a channel that transmits the lines of all messages one after another at a constant rate. The model records which
// entries each proxy's tables have.
type deploymentModel struct {
	assigner          *Assigner
	config            Config
	now               float64 // simulated time, s
	channelFreeAt     float64 // time at which the order channel has transmitted all queued lines, s
	messagesInTransit []deploymentMessage
	tables            map[int]map[string]float64 // weights of all table entries, by table number and endpoint name
	// Entry weights that another assigner set, by proxy number and endpoint name. The weights of a proxy are deleted
	// when this assigner attaches a table to the proxy.
	previousTables map[int]map[string]float64
	endpoints      []Endpoint
	// Time at which the assigner was notified that an endpoint drains, by endpoint name, s.
	drainNotifiedAt map[string]float64
}

// deploymentMessage is a message that is on its way to a proxy.
type deploymentMessage struct {
	proxy, sequence int
	orders          []Order
	arrivesAt       float64 // time at which the message arrives at its proxy, s
}

const (
	deploymentDrainGrace    = 4.0 // time within which proxies must stop using a draining endpoint, s
	deploymentTransitTime   = 0.3 // time from which a message leaves the order channel until it arrives at its proxy, s
	deploymentBatchInterval = 0.2 // time between two batches, s
)

// deploymentTypicalRate is the typical request rate of each proxy, in requests per second.
const deploymentTypicalRate = 10.0

// newDeploymentModel returns a deployment with the given numbers of proxies and endpoints. The parameter connected is
// the number of proxies that are connected and have tables that the assigner built. For each proxy, connected or not,
// the channel carries eight lines per second. Its queue holds as many lines as it carries in four seconds.
func newDeploymentModel(proxies, connected, endpoints int) *deploymentModel {
	config := modelConfig()
	config.RequestClasses = config.RequestClasses[:2]
	config.ProxyCount = float64(proxies)
	config.DrainGracePeriod = deploymentDrainGrace
	lineRate := 8 * float64(proxies)
	config.Channel = ChannelConfig{QueueLimit: 4 * lineRate, LinesPerSecond: lineRate, MessageOverhead: 10, MessageLimit: 20,
		MessageWindow: 10, MeanTransitTime: deploymentTransitTime, MaxTransitTime: 2 * deploymentTransitTime}
	deployment := &deploymentModel{assigner: New(1, config), config: config, now: modelStartTime, tables: map[int]map[string]float64{},
		previousTables: map[int]map[string]float64{}, drainNotifiedAt: map[string]float64{}}
	for i := range endpoints {
		deployment.endpoints = append(deployment.endpoints, Endpoint{Zone: zoneByNumber(i), Name: fmt.Sprint("t", i), Weight: 1})
	}
	events := []Event{EndpointUpdate{Full: true, Endpoints: slices.Clone(deployment.endpoints)}}
	for i := range connected {
		events = append(events, ProxyConnected{Proxy: i, Zone: zoneByNumber(i), TypicalRate: deploymentTypicalRate})
	}
	deployment.handleBatch(events...)
	deployment.run(6, 0)
	return deployment
}

// run advances the clock by the given number of seconds. Once a second the assigner receives a report on each endpoint.
// If lateInterval is positive, one endpoint in each group of lateInterval endpoints is reported with late answers, a
// different one each second, so that weights change and cause ordinary messages. If lateInterval is 0, no endpoint
// answers late.
func (m *deploymentModel) run(seconds float64, lateInterval int) {
	for end := m.now + seconds; m.now < end-deploymentBatchInterval/2; {
		m.now += deploymentBatchInterval
		batchCount := int(math.Round((m.now - modelStartTime) / deploymentBatchInterval))
		var events []Event
		if batchCount%5 == 0 {
			for i, endpoint := range m.endpoints {
				report := EndpointLoadReport{Zone: endpoint.Zone, Endpoint: endpoint.Name, Interval: 1, MeanLatency: 0.1,
					Attempts: 20, Load: []float64{0.5}}
				if lateInterval > 0 && (i+batchCount/5)%lateInterval == 0 {
					report.MeanLatency = 2
				}
				events = append(events, report)
			}
		}
		m.handleBatch(events...)
	}
}

// handleBatch delivers the messages that have arrived, passes their acknowledgments and then the given events to the
// assigner, and sends the orders that it returns.
func (m *deploymentModel) handleBatch(events ...Event) {
	var acknowledgments []Event
	for len(m.messagesInTransit) > 0 && m.messagesInTransit[0].arrivesAt <= m.now {
		message := m.messagesInTransit[0]
		m.messagesInTransit = m.messagesInTransit[1:]
		for _, order := range message.orders {
			m.apply(order)
		}
		acknowledgments = append(acknowledgments, Acknowledged{Proxy: message.proxy, Sequence: message.sequence})
	}
	m.send(m.assigner.Handle(m.now, append(acknowledgments, events...)))
}

// apply applies an order at the proxy that it is for.
func (m *deploymentModel) apply(order Order) {
	switch order := order.(type) {
	case ClearTable:
		m.tables[order.Table] = map[string]float64{}
	case SetWeight:
		m.tables[order.Table][order.Endpoint] = order.Weight
		if order.Weight == 0 {
			delete(m.tables[order.Table], order.Endpoint)
		}
	case AttachTable:
		delete(m.previousTables, order.Proxy)
	}
}

// send queues the orders of a batch in the channel. The orders for one proxy form one message.
func (m *deploymentModel) send(orders []Order) {
	sequence := 0
	var messages []*deploymentMessage
	messageTo := func(table int) *deploymentMessage {
		proxy := table / len(m.assigner.tableGroups)
		if n := len(messages); n > 0 && messages[n-1].proxy == proxy {
			return messages[n-1]
		}
		messages = append(messages, &deploymentMessage{proxy: proxy})
		return messages[len(messages)-1]
	}
	for _, order := range orders {
		table := -1
		switch order := order.(type) {
		case SetWeight:
			table = order.Table
		case SetRateLimit:
			table = order.Table
		case ClearTable:
			table = order.Table
		case AttachTable:
			table = order.Table
		case AcknowledgmentRequest:
			sequence = order.Sequence
		}
		if table >= 0 {
			message := messageTo(table)
			message.orders = append(message.orders, order)
		}
	}
	for _, message := range messages {
		message.sequence = sequence
		lines := float64(len(message.orders)+1) + m.config.Channel.MessageOverhead
		m.channelFreeAt = math.Max(m.channelFreeAt, m.now) + lines/m.config.Channel.LinesPerSecond
		message.arrivesAt = m.channelFreeAt + deploymentTransitTime
		m.messagesInTransit = append(m.messagesInTransit, *message)
	}
}

// drainAndReplace notifies the assigner that count endpoints drain, starting at index first, and that a new endpoint
// starts in the zone of each.
func (m *deploymentModel) drainAndReplace(first, count int) {
	var updatedEndpoints []Endpoint
	for i := first; i < first+count; i++ {
		m.endpoints[i].State = Draining
		m.drainNotifiedAt[m.endpoints[i].Name] = m.now
		replacement := Endpoint{Zone: m.endpoints[i].Zone, Name: "new-" + m.endpoints[i].Name, Weight: 1, StartedAt: m.now}
		m.endpoints = append(m.endpoints, replacement)
		updatedEndpoints = append(updatedEndpoints, m.endpoints[i], replacement)
	}
	m.handleBatch(EndpointUpdate{Endpoints: updatedEndpoints})
}

// longestDrainingEntry returns the table entry of a draining endpoint whose drain was announced first, and the time
// since that announcement in seconds. The time is 0 if no table has an entry of a draining endpoint.
func (m *deploymentModel) longestDrainingEntry() (description string, age float64) {
	for table, entries := range m.tables {
		for endpoint := range entries {
			if notifiedAt, draining := m.drainNotifiedAt[endpoint]; draining && m.now-notifiedAt > age {
				age = m.now - notifiedAt
				description = fmt.Sprintf("table %d has an entry of %s", table, endpoint)
			}
		}
	}
	return description, age
}

// TestDrainsEndWithinGraceWhileUrgentOrdersFit checks that tables drop draining endpoints within the grace period
// during a release, while weights change as usual. A seventh of the endpoints drains in each of three waves, 1.2 s
// apart. The channel can transmit all urgent orders within the grace period, so every entry of a draining endpoint
// must go in time.
func TestDrainsEndWithinGraceWhileUrgentOrdersFit(t *testing.T) {
	for _, test := range []struct{ proxies, endpoints int }{{10, 42}, {100, 98}, {480, 98}, {2400, 42}} {
		t.Run(fmt.Sprint(test.proxies, " proxies"), func(t *testing.T) {
			t.Parallel()
			deployment := newDeploymentModel(test.proxies, test.proxies, test.endpoints)
			deployment.run(4, 3)
			waveSize := test.endpoints / 7
			for i := range 3 {
				deployment.drainAndReplace(i*waveSize, waveSize)
				deployment.run(1.2, 3)
			}
			for range int(deploymentDrainGrace / deploymentBatchInterval) {
				deployment.run(deploymentBatchInterval, 3)
				if entry, age := deployment.longestDrainingEntry(); age > deploymentDrainGrace+deploymentBatchInterval/2 {
					t.Fatalf("got: %s, %.1f s after the notice of its drain; want at most %g s", entry, age, deploymentDrainGrace)
				}
				for table, entries := range deployment.tables {
					if len(entries) == 0 {
						t.Fatalf("got table %d without entries, want at least one entry", table)
					}
				}
			}
		})
	}
}
