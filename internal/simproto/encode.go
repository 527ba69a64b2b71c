package simproto

import (
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"

	"madderhollow/assign"
)

// ErrUnknownOrder reports that the protocol has no message for an order of this type.
var ErrUnknownOrder = errors.New("unknown order type")

// EncodeOrder encodes one order of an instance as a line of the reply to a batch, without the line end. The error is
// ErrUnknownOrder, or wraps the error of encoding/json for a value that JSON cannot represent.
func EncodeOrder(instance int, order assign.Order) ([]byte, error) {
	values := orderMessage(instance, order)
	if values == nil {
		return nil, fmt.Errorf("%w %T", ErrUnknownOrder, order)
	}
	return encodeLine(values)
}

// encodeLine encodes the name and the fields of a message as a JSON array.
func encodeLine(values []any) ([]byte, error) {
	line, err := json.Marshal(values)
	if err != nil {
		return nil, fmt.Errorf("encode %v: %w", values[0], err)
	}
	return line, nil
}

// orderMessage returns the name and the fields of the message for an order, or nil if the type of the order is unknown.
func orderMessage(instance int, order assign.Order) []any {
	switch order := order.(type) {
	case assign.SetWeight:
		return []any{setWeightName, instance, order.Table, formatDecimal(order.Weight), order.Endpoint}
	case assign.ClearTable:
		return []any{clearTableName, instance, order.Table}
	case assign.AttachTable:
		return []any{attachTableName, instance, order.Proxy, order.Table, requestClassMask(order.RequestClasses)}
	case assign.SetRateLimit:
		return []any{setRateLimitName, instance, order.Retries, formatDecimal(order.Limit), order.Table,
			requestClassMask(order.RequestClasses)}
	case assign.EjectEndpoint:
		return []any{ejectEndpointName, instance, order.Ejected, order.Endpoint}
	case assign.AcknowledgmentRequest:
		return []any{acknowledgmentRequestName, instance, order.Sequence, order.AllProxies}
	case assign.SetTimer:
		return []any{setTimerName, instance, formatDecimal(order.Delay * millisecondsPerSecond), order.ID}
	case assign.Log:
		return []any{logName, instance, order.String()}
	case assign.HealthCheck:
		return []any{healthCheckName, instance, order.Endpoint}
	case assign.SendPeerMessage:
		return []any{sendPeerMessageName, instance, order.Destination, base64.StdEncoding.EncodeToString(order.Data)}
	case assign.WatchEndpoints:
		return []any{watchEndpointsName, instance, order.Enabled}
	case assign.FetchEndpoints:
		return []any{fetchEndpointsName, instance}
	}
	return nil
}

// EncodeFault encodes the line that reports a panic of an instance, without the line end.
func EncodeFault(instance int, reason string) ([]byte, error) {
	return encodeLine([]any{faultName, instance, reason})
}

// EncodeReplyEnd encodes the line that ends the reply to a batch, without the line end.
func EncodeReplyEnd(batch json.Number) []byte {
	return []byte(`["` + replyEndName + `",` + batch.String() + `]`)
}

// requestClassMask returns the bit mask of the request classes at the given positions in the settings. The mask of an
// empty list of positions is 0, which stands for all request classes.
func requestClassMask(classes []int) int64 {
	var mask int64
	for _, class := range classes {
		mask |= 1 << uint(class)
	}
	return mask
}

// formatDecimal formats a number without an exponent, with the fewest digits that identify its float64 value.
func formatDecimal(value float64) json.RawMessage {
	return strconv.AppendFloat(nil, value, 'f', -1, 64)
}
