package wire

import (
	"testing"

	"madderhollow/assign"
)

func TestDecodeRelayEvent(t *testing.T) {
	for event, want := range map[[2]string]assign.Event{
		{"joined", "node=3&locality=a&w=21.5&cold=1"}: assign.ProxyConnected{Proxy: 3, Zone: "a", TypicalRate: 21.5, DefaultTablesOnly: true},
		{"left", "node=3"}:                            assign.ProxyDisconnected{Proxy: 3},
		{"applied", "node=3&nonce=905&latency=310.5"}: assign.Acknowledged{Proxy: 3, Sequence: 905, Latency: 0.3105},
	} {
		if got, err := newTestCodec().DecodeRelayEvent(event[0], event[1]); err != nil || got != want {
			t.Errorf("%v: got %#v (%v), want %#v", event, got, err, want)
		}
	}
}

func TestDecodeRelayEventRejectsInvalidEvents(t *testing.T) {
	for _, test := range []struct {
		eventType string
		invalidInput
	}{
		{"joined", invalidInput{input: "node=6&locality=a&w=1&cold=0", wantError: ErrUnknownProxy}},
		{"joined", invalidInput{input: "node=1&locality=q&w=1&cold=0", wantError: ErrUnknownZone}},
		{"joined", invalidInput{input: "node=1&locality=a&w=NaN&cold=0", wantField: "w"}},
		{"left", invalidInput{input: "node=", wantField: "node"}},
		{"left", invalidInput{input: "%zz"}},
		{"applied", invalidInput{input: "node=1&nonce=-1&latency=0", wantField: "nonce"}},
		{"applied", invalidInput{input: "node=1&nonce=905.5&latency=0", wantField: "nonce"}},
		{"odd", invalidInput{input: "node=1", wantError: ErrUnknownMessage}},
		{"odd", invalidInput{input: "node=x", wantError: ErrUnknownMessage}},
		{"odd", invalidInput{input: "", wantError: ErrUnknownMessage}},
	} {
		got, err := newTestCodec().DecodeRelayEvent(test.eventType, test.input)
		test.checkRejected(t, got, err)
	}
}

func TestRelayEventErrorDistinguishesMissingFromInvalidField(t *testing.T) {
	for data, want := range map[string]string{
		"":       `left: "node" is missing, want number of a proxy: a number`,
		"node=":  `left: "node" is "", want number of a proxy: a number`,
		"node=x": `left: "node" is "x", want number of a proxy: a number`,
	} {
		if got, err := newTestCodec().DecodeRelayEvent(proxyDisconnectedType, data); err == nil || err.Error() != want {
			t.Errorf("%q: got %v (%v), want error %s", data, got, err, want)
		}
	}
}
