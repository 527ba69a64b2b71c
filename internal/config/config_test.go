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

// environment returns a lookup of environment variables in a map.
func environment(variables map[string]string) func(string) string {
	return func(name string) string { return variables[name] }
}

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
	if config.Name != "n2" || config.Listen != "127.0.0.1:9" || config.Discovery != "127.0.0.1:2" || config.Seed != -1 ||
		config.MemoryMB != defaultMemoryMB || config.Descriptors != defaultDescriptors {
		t.Errorf("got %+v, want the name and address of the environment, the rest of the file, and default limits", config)
	}
}

// Files with one invalid field after the valid ones that are checked before it.
const (
	invalidSeed     = `{"seed":"x"}`
	noSettings      = `{"seed":"1"}`
	noEndpoints     = `{"seed":"1","settings":{"az":"x"}}`
	invalidListen   = `{"seed":"1","settings":{"az":"x"},"known":{"index":0,"snapshot":true},"listen":"nowhere"}`
	negativeVersion = `{"seed":"1","settings":{"az":"x"},"known":{"index":-1,"snapshot":true}}`
	versionField    = "index" // of the endpoint list
)

func TestParseNamesInvalidField(t *testing.T) {
	for text, want := range map[string]string{
		invalidSeed:     seedField,
		noSettings:      settingsField,
		noEndpoints:     initialEndpointsField,
		invalidListen:   listenField,
		negativeVersion: versionField,
	} {
		var fieldError *fieldcheck.Error
		config, err := Parse([]byte(text), environment(nil))
		if !errors.As(err, &fieldError) || fieldError.Field != want || config != nil {
			t.Errorf("%s: got %+v (%v), want an error of field %s alone", text, config, err, want)
		}
	}
}

func TestFieldConstantsMatchTags(t *testing.T) {
	whole, nested := reflect.TypeFor[file](), reflect.TypeFor[relay]()
	for _, test := range []struct {
		structure reflect.Type
		field     string
		want      string
	}{
		{whole, "Seed", seedField}, {whole, "Settings", settingsField}, {whole, "InitialEndpoints", initialEndpointsField},
		{whole, "Listen", listenField}, {whole, "Discovery", discoveryField}, {whole, "Relay", relayField},
		{nested, "Address", strings.TrimPrefix(relayAddressField, relayField+".")},
		{whole, "PeerListen", peerListenField}, {whole, "Peers", peersField}, {whole, "PeersBroadcast", peersBroadcastField},
	} {
		field, ok := test.structure.FieldByName(test.field)
		if got := field.Tag.Get("json"); !ok || got != test.want {
			t.Errorf("%s.%s: got tag %q, want %q", test.structure.Name(), test.field, got, test.want)
		}
	}
}
