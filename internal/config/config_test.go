package config

import (
	"errors"
	"os"
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

func TestParseNamesInvalidField(t *testing.T) {
	for text, want := range map[string]string{
		`{"seed":"x"}`:                       "seed",
		`{"seed":"1"}`:                       "settings",
		`{"seed":"1","settings":{"az":"x"}}`: "known",
		`{"seed":"1","settings":{"az":"x"},"known":{"index":0,"snapshot":true},"listen":"nowhere"}`: "listen",
		`{"seed":"1","settings":{"az":"x"},"known":{"index":-1,"snapshot":true}}`:                   "index",
	} {
		var fieldError *fieldcheck.Error
		if _, err := Parse([]byte(text), environment(nil)); !errors.As(err, &fieldError) || fieldError.Field != want {
			t.Errorf("%s: got error %v, want one of field %s", text, err, want)
		}
	}
}
