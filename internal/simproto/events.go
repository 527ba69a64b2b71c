package simproto

import (
	"fmt"

	"madderhollow/assign"
	"madderhollow/internal/settings"
)

// decodeEvent decodes the event in a message for an instance. The result known is false if the name of the message is
// unknown. An invalid field makes message.err return an error.
func (d *Decoder) decodeEvent(message *fieldReader, instance int) (event assign.Event, known bool) {
	switch message.name {
	case endpointUpdateName:
		return decodeEndpointUpdate(message), true
	case endpointLoadReportName:
		return assign.EndpointLoadReport{Zone: message.stringValue(1), MeanLatency: message.millisecondsAsSeconds(2),
			Failed: message.count(3), Interval: message.millisecondsAsSeconds(4), Endpoint: message.stringValue(5),
			Attempts: message.count(6), Load: d.decodeLoadReport(message, instance, 7)}, true
	case proxyTrafficReportName:
		return assign.ProxyTrafficReport{Interval: message.millisecondsAsSeconds(1), Proxy: message.uint16ID(2),
			Requests: message.count(3), Failed: message.count(4), RequestClass: message.stringValue(5)}, true
	case shardTrafficReportName:
		return assign.ShardTrafficReport{Failed: message.count(1), RequestClass: message.stringValue(2),
			Requests: message.count(3), Interval: message.millisecondsAsSeconds(4), Shard: message.uint16ID(5)}, true
	case proxyConnectedName:
		return assign.ProxyConnected{Proxy: message.uint16ID(1), Zone: message.stringValue(2), TypicalRate: message.nonNegative(3),
			DefaultTablesOnly: message.boolean(4)}, true
	case proxyDisconnectedName:
		return assign.ProxyDisconnected{Proxy: message.uint16ID(1)}, true
	case acknowledgedName:
		return assign.Acknowledged{Latency: message.millisecondsAsSeconds(1), Proxy: message.uint16ID(2),
			Sequence: message.uint16ID(3)}, true
	case shardAssignedName:
		return assign.ShardAssigned{Assigned: message.boolean(1), Shard: message.uint16ID(2)}, true
	case shardEntryName:
		return assign.ShardEntry{Shard: message.uint16ID(1), Endpoint: message.stringValue(2),
			Weight: message.nonNegative(3)}, true
	case healthCheckResultName:
		return assign.HealthCheckResult{Endpoint: message.stringValue(1), Code: message.stringValue(2),
			Latency: message.millisecondsAsSeconds(3), Load: d.decodeLoadReport(message, instance, 4)}, true
	case peerMessageReceivedName:
		return assign.PeerMessageReceived{Source: message.count(1), Data: message.base64Bytes(2)}, true
	case timerFiredName:
		return assign.TimerFired{ID: message.integer(1)}, true
	}
	return nil, false
}

// decodeLoadReport decodes the load report in the field at a position of a message and converts its values to the units
// of package assign.
func (d *Decoder) decodeLoadReport(message *fieldReader, instance, position int) []float64 {
	values := message.numberArray(position)
	for column, metric := range d.loadMetrics[instance] {
		if column < len(values) {
			values[column] = settings.LoadValue(metric, values[column])
		}
	}
	return values
}

// decodeEndpointUpdate decodes the fields of an endpoint update and of its entries.
func decodeEndpointUpdate(message *fieldReader) assign.EndpointUpdate {
	update := assign.EndpointUpdate{Version: message.integer(1)}
	switch message.stringValue(2) {
	case modeDelta:
	case modeFull, modeCatchUp:
		update.Full = true
	case modeFailed:
		update.Failed = true
		return update
	default:
		message.recordInvalid(2, fmt.Sprintf("a mode: %s, %s, %s or %s", modeDelta, modeFull, modeCatchUp, modeFailed))
	}
	entries, ok := message.value(3).([]any)
	if !ok {
		message.recordInvalid(3, "an array of entries")
	}
	for position, rawEntry := range entries {
		values, ok := rawEntry.([]any)
		if !ok {
			message.recordInvalid(3, "an array of entries, each an array")
			break
		}
		entry := &fieldReader{name: fmt.Sprintf("entry %d", position), values: values}
		update.Endpoints = append(update.Endpoints, decodeEndpoint(entry))
		message.validator.RecordError(entry.err())
	}
	return update
}

// decodeEndpoint decodes the fields of one entry of an endpoint update.
func decodeEndpoint(entry *fieldReader) assign.Endpoint {
	endpoint := assign.Endpoint{Zone: entry.stringValue(0), MachineGroup: entry.integer(1), Name: entry.stringValue(2),
		Weight: entry.nonNegative(3)}
	switch entry.stringValue(4) {
	case stateReady:
		endpoint.State = assign.Ready
	case stateDraining:
		endpoint.State = assign.Draining
	case stateRemoved:
		endpoint.State = assign.Removed
	default:
		entry.recordInvalid(4, fmt.Sprintf("a state: %s, %s or %s", stateReady, stateDraining, stateRemoved))
	}
	if entry.value(5) != nil {
		endpoint.StartedAt = entry.millisecondsAsSeconds(5)
	}
	if entry.value(6) != nil {
		endpoint.MachineType = entry.stringValue(6)
	}
	return endpoint
}
