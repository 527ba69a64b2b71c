package wire

import "testing"

func TestDecodeCallResponse(t *testing.T) {
	for body, want := range map[string]CallResponse{
		`<?xml version="1.0"?><Response><results><item><taken>3</taken></item></results></Response>`: {AcceptedOrders: 3},
		`<Response><Errors><Error><Code>BUSY</Code></Error></Errors></Response>`:                     {ErrorCode: "BUSY"},
		`<Response><error code="SYNTAX"/></Response>`:                                                {ErrorCode: "SYNTAX"},
	} {
		if got, err := DecodeCallResponse([]byte(body)); err != nil || got != want {
			t.Errorf("%s: got %+v (%v), want %+v", body, got, err, want)
		}
	}
}

func TestDecodeCallResponseRejectsInvalidResponses(t *testing.T) {
	for _, test := range []invalidInput{
		{input: ``},
		{input: `ok`},
		{input: `<Response><results><item><taken>3</taken>`},
		{input: `<a><taken>-1</taken></a>`, wantField: "taken"},
		{input: `<a><taken></taken></a>`},
	} {
		got, err := DecodeCallResponse([]byte(test.input))
		test.checkRejected(t, got, err)
	}
}
