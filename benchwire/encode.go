package benchwire

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"strconv"

	"madderhollow/assign"
)

// mask packs positions of request kinds; none stands for all and is 0 on the wire.
func mask(kinds []int) int64 {
	var m int64
	for _, k := range kinds {
		m |= 1 << uint(k)
	}
	return m
}

func num(x float64) json.RawMessage { return strconv.AppendFloat(nil, x, 'f', -1, 64) }

// Encode turns one order of an instance into a line of the reply.
func Encode(instance int, o assign.Order) ([]byte, error) {
	var v []any
	switch o := o.(type) {
	case assign.SetWeight:
		v = []any{"setLine", instance, o.Table, num(o.Weight), o.Endpoint}
	case assign.ClearTable:
		v = []any{"wipe", instance, o.Table}
	case assign.AttachTable:
		v = []any{"handTable", instance, o.Proxy, o.Table, mask(o.RequestClasses)}
	case assign.SetRateLimit:
		v = []any{"gateClass", instance, o.Retries, num(o.Limit), o.Table, mask(o.RequestClasses)}
	case assign.EjectEndpoint:
		v = []any{"withdraw", instance, o.Ejected, o.Endpoint}
	case assign.AcknowledgmentRequest:
		v = []any{"nonce", instance, o.Sequence, o.AllProxies}
	case assign.SetTimer:
		v = []any{"after", instance, num(o.Delay * 1000), o.ID}
	case assign.Log:
		v = []any{"journalLine", instance, o.Message}
	case assign.HealthCheck:
		v = []any{"inspect", instance, o.Endpoint}
	case assign.SendPeerMessage:
		v = []any{"publish", instance, o.To, base64.StdEncoding.EncodeToString(o.Data)}
	case assign.WatchEndpoints:
		v = []any{"track", instance, o.Enabled}
	case assign.FetchEndpoints:
		v = []any{"getList", instance}
	default:
		return nil, fmt.Errorf("order of unknown type %T", o)
	}
	return json.Marshal(v)
}

// EncodeFault reports that an instance's code broke.
func EncodeFault(instance int, why string) []byte {
	b, _ := json.Marshal([]any{"fault", instance, why})
	return b
}

// EncodeEnd closes a reply.
func EncodeEnd(batch json.Number) []byte { return []byte(`["end",` + batch.String() + `]`) }
