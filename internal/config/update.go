package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"slices"
)

// Update is what a running program applies of a new configuration file. Other fields need a restart.
type Update struct {
	Discovery string // address
	Relay     string // address
	fields    map[string]json.RawMessage
}

// LoadUpdate reads a new configuration file while the program runs. The file takes precedence over the environment here,
// because the environment is as old as the process. An update with an invalid address is returned with the error.
func LoadUpdate(path string) (*Update, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	var fields file
	update := &Update{}
	if err := errors.Join(json.Unmarshal(data, &fields), json.Unmarshal(data, &update.fields)); err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	update.Discovery = fields.Discovery
	update.Relay = fields.Relay.Address
	return update, checkAddresses(namedAddress{discoveryField, update.Discovery}, namedAddress{relayAddressField, update.Relay})
}

// NeedsRestart returns the names of the fields in this file that are new or differ from an earlier file and call for a
// restart, sorted. It names neither fields that were removed nor those of needsNoRestart. Before may be nil, which differs
// in nothing.
func (u *Update) NeedsRestart(before *Update) (fields []string) {
	if before == nil {
		return nil
	}
	for name, value := range u.fields {
		if !needsNoRestart(name) && !bytes.Equal(value, before.fields[name]) {
			fields = append(fields, name)
		}
	}
	slices.Sort(fields)
	return fields
}

// needsNoRestart reports whether a change of a field calls for no restart: the addresses move while the program runs, and
// seed and initial endpoints matter only at the next start.
func needsNoRestart(name string) bool {
	return slices.Contains([]string{seedField, initialEndpointsField, discoveryField, relayField}, name)
}
