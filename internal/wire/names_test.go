package wire

import (
	"reflect"
	"testing"
)

// Errors name fields by the constants, decoding uses the struct tags.
func TestFieldConstantsMatchTags(t *testing.T) {
	report, list, entry := reflect.TypeFor[reportFields](), reflect.TypeFor[EndpointList](), reflect.TypeFor[ListedEndpoint]()
	for _, test := range []struct {
		structure reflect.Type
		field     string
		want      string
	}{
		{report, "Zone", zoneField}, {report, "Endpoint", endpointField}, {report, "RequestClass", requestClassField},
		{report, "Proxy", proxyField}, {report, "Requests", requestsField}, {report, "Failed", failedField},
		{report, "MeanLatency", meanLatencyField}, {report, "Interval", reportIntervalField},
		{list, "Version", versionField}, {list, "Full", fullField},
		{entry, "Name", nameField}, {entry, "State", stateField}, {entry, "Weight", weightField},
		{entry, "StartedAt", startedAtField},
	} {
		field, ok := test.structure.FieldByName(test.field)
		if got := field.Tag.Get("json"); !ok || got != test.want {
			t.Errorf("%s.%s: got tag %q, want %q", test.structure.Name(), test.field, got, test.want)
		}
	}
}
