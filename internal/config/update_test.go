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
	updateBefore, err := LoadUpdate(path)
	if err != nil {
		t.Fatal(err)
	}
	writeFile(t, path, `{"name":"n9","discovery":"127.0.0.1:5","relay":{"address":"127.0.0.1:6"},"seed":"2","more":1}`)
	updateAfter, err := LoadUpdate(path)
	if err != nil || updateAfter.DiscoveryAddress != "127.0.0.1:5" || updateAfter.RelayAddress != "127.0.0.1:6" {
		t.Fatalf("got %+v (%v), want the addresses of the new file", updateAfter, err)
	}
	if got, want := updateAfter.ChangesNeedingRestart(updateBefore), []string{"more", "name"}; !slices.Equal(got, want) {
		t.Errorf("got fields %v, want %v", got, want)
	}
	if got := updateAfter.ChangesNeedingRestart(nil); got != nil {
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
