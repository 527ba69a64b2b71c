package wire

import (
	"errors"
	"testing"

	"madderhollow/assign"
)

func TestEncodeOrder(t *testing.T) {
	for want, order := range map[string]assign.Order{
		"put,4,s-5,1.5":         assign.SetWeight{Table: 4, Endpoint: "s-5", Weight: 1.5},
		"wipe,4":                assign.ClearTable{Table: 4},
		"attach,5,4,read+sign":  assign.AttachTable{Proxy: 5, Table: 4, RequestClasses: []int{0, 1}},
		"attach,5,4,*":          assign.AttachTable{Proxy: 5, Table: 4},
		"eject,s":               assign.EjectEndpoint{Endpoint: "s", Ejected: true},
		"uneject,s":             assign.EjectEndpoint{Endpoint: "s"},
		"gate,4,sign,0.9,1":     assign.SetRateLimit{Table: 4, RequestClasses: []int{1}, Limit: 0.9, Retries: 1},
		"gate,*,*,1000000000,0": assign.SetRateLimit{Table: assign.AllProxyTables, Limit: 1e9},
		"fence,905,1":           assign.AcknowledgmentRequest{Sequence: 905, AllProxies: true},
	} {
		if got, err := newTestCodec().EncodeOrder(order); err != nil || got != want {
			t.Errorf("got %s (%v), want %s", got, err, want)
		}
	}
}

func TestEncodeOrderRejectsUnknownClassAndType(t *testing.T) {
	for _, order := range []assign.Order{assign.AttachTable{RequestClasses: []int{7}}, assign.SetTimer{}} {
		if got, err := newTestCodec().EncodeOrder(order); !errors.Is(err, ErrCannotEncode) {
			t.Errorf("%#v: got %q (%v), want error %q", order, got, err, ErrCannotEncode)
		}
	}
}

func TestEncodeCallEscapesOrders(t *testing.T) {
	const want = "Action=CommitChanges&orders=wipe%2C4%3Battach%2C5%2C4%2Ca%2Bb"
	if got := string(EncodeCall([]string{"wipe,4", "attach,5,4,a+b"})); got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}
