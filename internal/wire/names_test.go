package wire

import (
	"reflect"
	"testing"
)

// TestFieldConstantsMatchTags guards against errors that name a field wrongly: errors take the names of fields from
// constants, whereas decoding takes them from struct tags.
func TestFieldConstantsMatchTags(t *testing.T) {
	message, list, entry := reflect.TypeFor[messageFields](), reflect.TypeFor[EndpointList](), reflect.TypeFor[ListedEndpoint]()
	for _, test := range []struct {
		structType reflect.Type
		fieldName  string
		wantTag    string
	}{
		{message, "Zone", zoneField}, {message, "Endpoint", endpointField}, {message, "RequestClass", requestClassField},
		{message, "Proxy", proxyField}, {message, "Requests", requestsField}, {message, "Failed", failedField},
		{message, "MeanLatency", meanLatencyField}, {message, "Interval", reportIntervalField},
		{list, "Version", versionField}, {list, "Full", fullField},
		{entry, "Name", nameField}, {entry, "State", stateField}, {entry, "Weight", weightField},
		{entry, "StartedAt", startedAtField},
	} {
		field, ok := test.structType.FieldByName(test.fieldName)
		if got := field.Tag.Get("json"); !ok || got != test.wantTag {
			t.Errorf("%s.%s: got tag %q, want %q", test.structType.Name(), test.fieldName, got, test.wantTag)
		}
	}
}
