package config

import (
	"errors"
	"path/filepath"
	"slices"
	"testing"

	"madderhollow/internal/fieldcheck"
)

func TestChangesNeedingRestartReturnsChangedFields(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	writeFile(t, path, validFile)
	before, err := LoadUpdate(path)
	if err != nil {
		t.Fatal(err)
	}
	writeFile(t, path, `{"name":"n9","discovery":"127.0.0.1:5","relay":{"address":"127.0.0.1:6"},"seed":"2","more":1}`)
	after, err := LoadUpdate(path)
	if err != nil || after.DiscoveryAddress != "127.0.0.1:5" || after.RelayAddress != "127.0.0.1:6" {
		t.Fatalf("got %+v (%v), want the addresses of the new file", after, err)
	}
	if got, want := after.ChangesNeedingRestart(before), []string{"more", "name"}; !slices.Equal(got, want) {
		t.Errorf("got fields %v, want %v", got, want)
	}
	if got := after.ChangesNeedingRestart(nil); got != nil {
		t.Errorf("without an earlier file: got fields %v, want none", got)
	}
}

func TestLoadUpdateRejectsInvalidAddress(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	writeFile(t, path, `{"discovery":"nowhere"}`)
	var fieldError *fieldcheck.Error
	if _, err := LoadUpdate(path); !errors.As(err, &fieldError) || fieldError.Field != discoveryField {
		t.Errorf("got error %v, want an error for field %s", err, discoveryField)
	}
}
