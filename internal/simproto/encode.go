package simproto

import (
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"

	"madderhollow/assign"
)

// ErrUnknownOrder reports an order of a type that the protocol has no message for.
var ErrUnknownOrder = errors.New("unknown order type")

// Encode encodes one order of an instance as a line of the reply, without the line end. The error is ErrUnknownOrder, or that
// of a value that JSON cannot represent.
func Encode(instance int, order assign.Order) ([]byte, error) {
	values := orderFields(instance, order)
	if values == nil {
		return nil, fmt.Errorf("%w %T", ErrUnknownOrder, order)
	}
	return encodeLine(values)
}

func encodeLine(values []any) ([]byte, error) {
	line, err := json.Marshal(values)
	if err != nil {
		return nil, fmt.Errorf("encode %v: %w", values[0], err)
	}
	return line, nil
}

// orderFields returns the name and the fields of an order's message, nil if the type is unknown.
func orderFields(instance int, order assign.Order) []any {
	switch order := order.(type) {
	case assign.SetWeight:
		return []any{setWeightName, instance, order.Table, decimal(order.Weight), order.Endpoint}
	case assign.ClearTable:
		return []any{clearTableName, instance, order.Table}
	case assign.AttachTable:
		return []any{attachTableName, instance, order.Proxy, order.Table, classMask(order.RequestClasses)}
	case assign.SetRateLimit:
		return []any{setRateLimitName, instance, order.Retries, decimal(order.Limit), order.Table, classMask(order.RequestClasses)}
	case assign.EjectEndpoint:
		return []any{ejectEndpointName, instance, order.Ejected, order.Endpoint}
	case assign.AcknowledgmentRequest:
		return []any{acknowledgmentRequestName, instance, order.Sequence, order.AllProxies}
	case assign.SetTimer:
		return []any{setTimerName, instance, decimal(order.Delay * millisecondsPerSecond), order.ID}
	case assign.Log:
		return []any{logName, instance, order.String()}
	case assign.HealthCheck:
		return []any{healthCheckName, instance, order.Endpoint}
	case assign.SendPeerMessage:
		return []any{sendPeerMessageName, instance, order.To, base64.StdEncoding.EncodeToString(order.Data)}
	case assign.WatchEndpoints:
		return []any{watchEndpointsName, instance, order.Enabled}
	case assign.FetchEndpoints:
		return []any{fetchEndpointsName, instance}
	}
	return nil
}

// EncodeFault encodes the report that an instance panicked.
func EncodeFault(instance int, reason string) ([]byte, error) {
	return encodeLine([]any{faultName, instance, reason})
}

// EncodeEnd encodes the line that ends a reply.
func EncodeEnd(batch json.Number) []byte { return []byte(`["` + endName + `",` + batch.String() + `]`) }

// classMask packs positions of request classes into bits. No position stands for all classes and is 0.
func classMask(classes []int) int64 {
	var mask int64
	for _, class := range classes {
		mask |= 1 << uint(class)
	}
	return mask
}

// decimal formats a number without an exponent.
func decimal(x float64) json.RawMessage { return strconv.AppendFloat(nil, x, 'f', -1, 64) }
