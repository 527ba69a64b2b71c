package wire

import (
	"reflect"
	"testing"
)

// Errors name members by the constants, decoding uses the struct tags.
func TestMemberConstantsMatchTags(t *testing.T) {
	report, list, entry := reflect.TypeFor[reportMembers](), reflect.TypeFor[EndpointList](), reflect.TypeFor[ListedEndpoint]()
	for _, test := range []struct {
		structure reflect.Type
		field     string
		want      string
	}{
		{report, "Zone", zoneMember}, {report, "Endpoint", endpointMember}, {report, "RequestClass", requestClassMember},
		{report, "Proxy", proxyMember}, {report, "Requests", requestsMember}, {report, "Failed", failedMember},
		{report, "MeanLatency", meanLatencyMember}, {report, "Interval", reportIntervalMember},
		{list, "Version", versionMember}, {list, "Full", fullMember},
		{entry, "Name", nameMember}, {entry, "State", stateMember}, {entry, "Weight", weightMember},
		{entry, "StartedAt", startedAtMember},
	} {
		field, ok := test.structure.FieldByName(test.field)
		if got := field.Tag.Get("json"); !ok || got != test.want {
			t.Errorf("%s.%s: got tag %q, want %q", test.structure.Name(), test.field, got, test.want)
		}
	}
}
