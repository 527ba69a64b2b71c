package simproto

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"strconv"

	"madderhollow/assign"
)

// Encode turns one order of an instance into a line of the reply, without its end.
func Encode(instance int, order assign.Order) ([]byte, error) {
	values := values(instance, order)
	if values == nil {
		return nil, fmt.Errorf("order of unknown type %T", order)
	}
	return json.Marshal(values)
}

// values gives an order's message: its name, the instance and the rest in the protocol's order; nil if there is none.
func values(instance int, order assign.Order) []any {
	switch order := order.(type) {
	case assign.SetWeight:
		return []any{"setLine", instance, order.Table, decimal(order.Weight), order.Endpoint}
	case assign.ClearTable:
		return []any{"wipe", instance, order.Table}
	case assign.AttachTable:
		return []any{"handTable", instance, order.Proxy, order.Table, classMask(order.RequestClasses)}
	case assign.SetRateLimit:
		return []any{"gateClass", instance, order.Retries, decimal(order.Limit), order.Table, classMask(order.RequestClasses)}
	case assign.EjectEndpoint:
		return []any{"withdraw", instance, order.Ejected, order.Endpoint}
	case assign.AcknowledgmentRequest:
		return []any{"nonce", instance, order.Sequence, order.AllProxies}
	case assign.SetTimer:
		return []any{"after", instance, decimal(order.Delay * millisecondsPerSecond), order.ID}
	case assign.Log:
		return []any{"journalLine", instance, order.String()}
	case assign.HealthCheck:
		return []any{"inspect", instance, order.Endpoint}
	case assign.SendPeerMessage:
		return []any{"publish", instance, order.To, base64.StdEncoding.EncodeToString(order.Data)}
	case assign.WatchEndpoints:
		return []any{"track", instance, order.Enabled}
	case assign.FetchEndpoints:
		return []any{"getList", instance}
	}
	return nil
}

// EncodeFault reports that an instance's code broke.
func EncodeFault(instance int, reason string) ([]byte, error) {
	return json.Marshal([]any{"fault", instance, reason})
}

// EncodeEnd closes a reply.
func EncodeEnd(batch json.Number) []byte { return []byte(`["end",` + batch.String() + `]`) }

// classMask packs positions of request classes into bits; none stands for all and is 0.
func classMask(classes []int) int64 {
	var mask int64
	for _, class := range classes {
		mask |= 1 << uint(class)
	}
	return mask
}

// decimal writes a number without an exponent.
func decimal(x float64) json.RawMessage { return strconv.AppendFloat(nil, x, 'f', -1, 64) }
