package simproto

import (
	"fmt"

	"madderhollow/assign"
	"madderhollow/internal/settings"
)

// event decodes the event in a message for an instance. Known is false if the message has no known name. An invalid field
// is an error of message.err.
func (d *Decoder) event(message *fields, instance int) (event assign.Event, known bool) {
	switch message.message {
	case endpointUpdateName:
		return endpointUpdate(message), true
	case endpointLoadReportName:
		return assign.EndpointLoadReport{Zone: message.text(1), MeanLatency: message.seconds(2), Failed: message.count(3),
			Interval: message.seconds(4), Endpoint: message.text(5), Attempts: message.count(6), Load: d.load(message, instance, 7)}, true
	case proxyTrafficReportName:
		return assign.ProxyTrafficReport{Interval: message.seconds(1), Proxy: message.id(2), Requests: message.count(3),
			Failed: message.count(4), RequestClass: message.text(5)}, true
	case shardTrafficReportName:
		return assign.ShardTrafficReport{Failed: message.count(1), RequestClass: message.text(2), Requests: message.count(3),
			Interval: message.seconds(4), Shard: message.id(5)}, true
	case proxyConnectedName:
		return assign.ProxyConnected{Proxy: message.id(1), Zone: message.text(2), TypicalRate: message.notNegative(3),
			DefaultTablesOnly: message.flag(4)}, true
	case proxyDisconnectedName:
		return assign.ProxyDisconnected{Proxy: message.id(1)}, true
	case acknowledgedName:
		return assign.Acknowledged{Latency: message.seconds(1), Proxy: message.id(2), Sequence: message.id(3)}, true
	case shardAssignedName:
		return assign.ShardAssigned{Assigned: message.flag(1), Shard: message.id(2)}, true
	case shardEntryName:
		return assign.ShardEntry{Shard: message.id(1), Endpoint: message.text(2), Weight: message.notNegative(3)}, true
	case healthCheckResultName:
		return assign.HealthCheckResult{Endpoint: message.text(1), Code: message.text(2), Latency: message.seconds(3),
			Load: d.load(message, instance, 4)}, true
	case peerMessageReceivedName:
		return assign.PeerMessageReceived{From: message.count(1), Data: message.bytes(2)}, true
	case timerFiredName:
		return assign.TimerFired{ID: message.integer(1)}, true
	}
	return nil, false
}

// load decodes a load report and converts it to the units of package assign.
func (d *Decoder) load(message *fields, instance, i int) []float64 {
	values := message.numbers(i)
	for column, metric := range d.metrics[instance] {
		if column < len(values) {
			values[column] = settings.LoadValue(metric, values[column])
		}
	}
	return values
}

func endpointUpdate(message *fields) assign.EndpointUpdate {
	update := assign.EndpointUpdate{Version: message.integer(1)}
	switch message.text(2) {
	case modeDelta:
	case modeFull, modeCatchUp:
		update.Full = true
	case modeFailed:
		update.Failed = true
		return update
	default:
		message.fail(2, fmt.Sprintf("a mode: %s, %s, %s or %s", modeDelta, modeFull, modeCatchUp, modeFailed))
	}
	rows, ok := message.at(3).([]any)
	if !ok {
		message.fail(3, "an array of entries")
	}
	for n, row := range rows {
		values, ok := row.([]any)
		if !ok {
			message.fail(3, "an array of entries, each an array")
			break
		}
		entry := &fields{message: fmt.Sprintf("entry %d", n), values: values}
		update.Endpoints = append(update.Endpoints, endpoint(entry))
		message.checks.Keep(entry.err())
	}
	return update
}

func endpoint(entry *fields) assign.Endpoint {
	endpoint := assign.Endpoint{Zone: entry.text(0), MachineGroup: entry.integer(1), Name: entry.text(2), Weight: entry.notNegative(3)}
	switch entry.text(4) {
	case stateReady:
		endpoint.State = assign.Ready
	case stateDraining:
		endpoint.State = assign.Draining
	case stateRemoved:
		endpoint.State = assign.Removed
	default:
		entry.fail(4, fmt.Sprintf("a state: %s, %s or %s", stateReady, stateDraining, stateRemoved))
	}
	if entry.at(5) != nil {
		endpoint.StartedAt = entry.seconds(5)
	}
	if entry.at(6) != nil {
		endpoint.MachineType = entry.text(6)
	}
	return endpoint
}
