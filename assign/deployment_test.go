package assign

import (
	"fmt"
	"math"
	"slices"
	"testing"
)

// deploymentModel is a large deployment without load: an assigner, its proxies, and the channel, which carries the lines of all
// messages one after another at a fixed pace. It records which entries each proxy holds.
type deploymentModel struct {
	assigner   *Assigner
	config     Config
	now        float64 // s
	freeAt     float64 // when the channel has carried all lines, s
	inTransit  []deploymentMessage
	tables     map[int]map[string]float64 // weights above 0, by table and endpoint
	former     map[int]map[string]float64 // those of another assigner's table, by proxy; until it has one of its own
	endpoints  []Endpoint
	drainingAt map[string]float64 // when the assigner was notified, s
}

// deploymentMessage is a message to a proxy on its way.
type deploymentMessage struct {
	proxy, sequence int
	orders          []Order
	arrivesAt       float64 // s
}

const (
	deploymentGrace   = 4.0 // of a drain, s
	deploymentTransit = 0.3 // of a message that has left the channel, s
	deploymentStep    = 0.2 // between two batches, s
)

// deploymentProxyRate is the typical rate of each proxy, 1/s.
const deploymentProxyRate = 10.0

// newDeploymentModel returns a deployment of which a number of proxies is connected and has tables of its own. Its channel
// carries eight lines a second for each proxy, and its queue holds four seconds of that.
func newDeploymentModel(proxies, connected, endpoints int) *deploymentModel {
	config := modelConfig()
	config.RequestClasses = config.RequestClasses[:2]
	config.ProxyCount = float64(proxies)
	config.DrainGracePeriod = deploymentGrace
	pace := 8 * float64(proxies)
	config.Channel = ChannelConfig{QueueLimit: 4 * pace, LinesPerSecond: pace, MessageOverhead: 10, MessageLimit: 20,
		MessageWindow: 10, MeanTransitTime: deploymentTransit, MaxTransitTime: 2 * deploymentTransit}
	deployment := &deploymentModel{assigner: New(1, config), config: config, now: modelStart, tables: map[int]map[string]float64{},
		former: map[int]map[string]float64{}, drainingAt: map[string]float64{}}
	for i := range endpoints {
		deployment.endpoints = append(deployment.endpoints, Endpoint{Zone: zoneOf(i), Name: fmt.Sprint("t", i), Weight: 1})
	}
	events := []Event{EndpointUpdate{Full: true, Endpoints: slices.Clone(deployment.endpoints)}}
	for i := range connected {
		events = append(events, ProxyConnected{Proxy: i, Zone: zoneOf(i), TypicalRate: deploymentProxyRate})
	}
	deployment.batch(events...)
	deployment.run(6, 0)
	return deployment
}

// run lets seconds pass, in which the assigner has a report on each endpoint each second. One of lateEach endpoints, another
// one each second, answers late: the weights change, which is ordinary traffic. 0: none does.
func (m *deploymentModel) run(seconds float64, lateEach int) {
	for end := m.now + seconds; m.now < end-deploymentStep/2; {
		m.now += deploymentStep
		second := int(math.Round((m.now - modelStart) / deploymentStep))
		var events []Event
		if second%5 == 0 {
			for i, endpoint := range m.endpoints {
				report := EndpointLoadReport{Zone: endpoint.Zone, Endpoint: endpoint.Name, Interval: 1, MeanLatency: 0.1,
					Attempts: 20, Load: []float64{0.5}}
				if lateEach > 0 && (i+second/5)%lateEach == 0 {
					report.MeanLatency = 2
				}
				events = append(events, report)
			}
		}
		m.batch(events...)
	}
}

// batch passes events, after the acknowledgments of the messages that have arrived, and sends the orders.
func (m *deploymentModel) batch(events ...Event) {
	var arrived []Event
	for len(m.inTransit) > 0 && m.inTransit[0].arrivesAt <= m.now {
		message := m.inTransit[0]
		m.inTransit = m.inTransit[1:]
		for _, order := range message.orders {
			m.apply(order)
		}
		arrived = append(arrived, Acknowledged{Proxy: message.proxy, Sequence: message.sequence})
	}
	m.send(m.assigner.Handle(m.now, append(arrived, events...)))
}

// apply applies an order at its proxy.
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
		delete(m.former, order.Proxy)
	}
}

// send queues the orders of a batch in the channel, as one message for each proxy.
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
		m.freeAt = math.Max(m.freeAt, m.now) + lines/m.config.Channel.LinesPerSecond
		message.arrivesAt = m.freeAt + deploymentTransit
		m.inTransit = append(m.inTransit, *message)
	}
}

// drain notifies the assigner that some endpoints drain, and that as many others start.
func (m *deploymentModel) drain(first, count int) {
	var entries []Endpoint
	for i := first; i < first+count; i++ {
		m.endpoints[i].State = Draining
		m.drainingAt[m.endpoints[i].Name] = m.now
		started := Endpoint{Zone: m.endpoints[i].Zone, Name: "new-" + m.endpoints[i].Name, Weight: 1, StartedAt: m.now}
		m.endpoints = append(m.endpoints, started)
		entries = append(entries, m.endpoints[i], started)
	}
	m.batch(EndpointUpdate{Endpoints: entries})
}

// latestDrain returns the table entry that has outlived its endpoint's drain the longest, and by how long after the notice.
func (m *deploymentModel) latestDrain() (description string, age float64) {
	for table, entries := range m.tables {
		for endpoint := range entries {
			if at, draining := m.drainingAt[endpoint]; draining && m.now-at > age {
				age = m.now - at
				description = fmt.Sprintf("table %d holds %s", table, endpoint)
			}
		}
	}
	return description, age
}

// TestDrainsKeepGraceWhileUrgentOrdersFit has a release amid ordinary changes: three waves, 1.2 s apart, in each of which a
// seventh of the endpoints drains. What has to go out fits into the channel within the grace, so every entry goes in time.
func TestDrainsKeepGraceWhileUrgentOrdersFit(t *testing.T) {
	for _, test := range []struct{ proxies, endpoints int }{{10, 42}, {100, 98}, {480, 98}, {2400, 42}} {
		t.Run(fmt.Sprint(test.proxies, " proxies"), func(t *testing.T) {
			t.Parallel()
			deployment := newDeploymentModel(test.proxies, test.proxies, test.endpoints)
			deployment.run(4, 3)
			wave := test.endpoints / 7
			for i := range 3 {
				deployment.drain(i*wave, wave)
				deployment.run(1.2, 3)
			}
			for range int(deploymentGrace / deploymentStep) {
				deployment.run(deploymentStep, 3)
				if entry, age := deployment.latestDrain(); age > deploymentGrace+deploymentStep/2 {
					t.Fatalf("got %s %.1f s after the notice of its drain, want at most %g s", entry, age, deploymentGrace)
				}
				for table, entries := range deployment.tables {
					if len(entries) == 0 {
						t.Fatalf("got table %d without an entry, want one", table)
					}
				}
			}
		})
	}
}
