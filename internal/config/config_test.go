package config

import (
	"errors"
	"os"
	"reflect"
	"strings"
	"testing"

	"madderhollow/internal/fieldcheck"
)

// validFile is the content of a valid configuration file.
const validFile = `{"name":"n1","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"ffffffffffffffff","relay":{"address":"127.0.0.1:3"},
	"known":{"index":0,"snapshot":true,"endpoints":[]},"peers":["127.0.0.1:4"],"settings":{"az":"x"}}`

// environment returns a function that looks up environment variables in a map.
func environment(variables map[string]string) func(string) string {
	return func(name string) string { return variables[name] }
}

// writeFile creates or replaces a file with the given content.
func writeFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

func TestParsePrefersEnvironmentAndAppliesDefaults(t *testing.T) {
	config, err := Parse([]byte(validFile), environment(map[string]string{nameVariable: "n2", listenVariable: "127.0.0.1:9"}))
	if err != nil {
		t.Fatal(err)
	}
	if config.Name != "n2" || config.ListenAddress != "127.0.0.1:9" || config.DiscoveryAddress != "127.0.0.1:2" || config.Seed != -1 ||
		config.MemoryLimitMB != defaultMemoryLimitMB || config.FileDescriptorLimit != defaultFileDescriptorLimit {
		t.Errorf("got %+v, want name and listen address from the environment, other fields from the file, and default limits", config)
	}
}

// Contents of configuration files. The name of each constant states which field is invalid or missing. The fields that
// Parse checks before that field are valid.
const (
	invalidSeed      = `{"seed":"x"}`
	missingSettings  = `{"seed":"1"}`
	missingEndpoints = `{"seed":"1","settings":{"az":"x"}}`
	invalidListen    = `{"seed":"1","settings":{"az":"x"},"known":{"index":0,"snapshot":true},"listen":"nowhere"}`
	negativeVersion  = `{"seed":"1","settings":{"az":"x"},"known":{"index":-1,"snapshot":true}}`
	versionField     = "index" // name of the field with the version of the endpoint list
)

func TestParseNamesInvalidField(t *testing.T) {
	for text, want := range map[string]string{
		invalidSeed:      seedField,
		missingSettings:  settingsField,
		missingEndpoints: initialEndpointsField,
		invalidListen:    listenField,
		negativeVersion:  versionField,
	} {
		var fieldError *fieldcheck.Error
		config, err := Parse([]byte(text), environment(nil))
		if !errors.As(err, &fieldError) || fieldError.Field != want || config != nil {
			t.Errorf("%s: got %+v (%v), want only an error for field %s", text, config, err, want)
		}
	}
}

func TestFieldConstantsMatchTags(t *testing.T) {
	topLevelType, nestedType := reflect.TypeFor[configFile](), reflect.TypeFor[relaySection]()
	for _, test := range []struct {
		structType reflect.Type
		field      string
		want       string
	}{
		{topLevelType, "Seed", seedField}, {topLevelType, "Settings", settingsField}, {topLevelType, "InitialEndpoints", initialEndpointsField},
		{topLevelType, "ListenAddress", listenField}, {topLevelType, "DiscoveryAddress", discoveryField}, {topLevelType, "Relay", relaySectionField},
		{nestedType, "Address", strings.TrimPrefix(relayAddressField, relaySectionField+".")},
		{topLevelType, "PeerListenAddress", peerListenField}, {topLevelType, "PeerAddresses", peersField}, {topLevelType, "PeerBroadcastAddress", peersBroadcastField},
	} {
		field, ok := test.structType.FieldByName(test.field)
		if got := field.Tag.Get("json"); !ok || got != test.want {
			t.Errorf("%s.%s: got tag %q, want %q", test.structType.Name(), test.field, got, test.want)
		}
	}
}
