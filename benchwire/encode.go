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
	case assign.SetLine:
		v = []any{"setLine", instance, o.Table, num(o.Weight), o.Task}
	case assign.Clear:
		v = []any{"wipe", instance, o.Table}
	case assign.Bind:
		v = []any{"handTable", instance, o.Proxy, o.Table, mask(o.Kinds)}
	case assign.SetLevel:
		v = []any{"gateClass", instance, o.Resend, num(o.Amount), o.Table, mask(o.Kinds)}
	case assign.Withdraw:
		v = []any{"withdraw", instance, o.Out, o.Task}
	case assign.Mark:
		v = []any{"nonce", instance, o.Mark, o.Everyone}
	case assign.After:
		v = []any{"after", instance, num(o.In * 1000), o.Name}
	case assign.Log:
		v = []any{"journalLine", instance, o.Text}
	case assign.Probe:
		v = []any{"inspect", instance, o.Task}
	case assign.Tell:
		v = []any{"publish", instance, o.To, base64.StdEncoding.EncodeToString(o.Data)}
	case assign.Follow:
		v = []any{"track", instance, o.On}
	case assign.FetchList:
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
