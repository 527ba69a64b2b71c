package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"slices"
)

// Update holds the fields of a changed configuration file that a running program can apply. A change of any other field
// needs a restart, except the fields for which changeNeedsNoRestart returns true.
type Update struct {
	DiscoveryAddress string                     // address of the discovery agent, host:port
	RelayAddress     string                     // address of the relay, host:port
	fields           map[string]json.RawMessage // JSON text of all top-level fields of the file, by name
}

// LoadUpdate reads a changed configuration file while the program runs. Unlike Load it ignores the environment
// variables, because they were set when the process started and are older than the file. If an address is invalid,
// LoadUpdate returns both the update and an error that wraps a *fieldcheck.Error.
func LoadUpdate(path string) (*Update, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	var fields configFile
	update := &Update{}
	if err := errors.Join(json.Unmarshal(data, &fields), json.Unmarshal(data, &update.fields)); err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	update.DiscoveryAddress = fields.DiscoveryAddress
	update.RelayAddress = fields.Relay.Address
	return update, checkAddresses(fieldAddress{discoveryField, update.DiscoveryAddress}, fieldAddress{relayAddressField, update.RelayAddress})
}

// ChangesNeedingRestart compares the file of this update with the file of an earlier update. It returns the sorted
// names of the top-level fields that are new or changed and whose change needs a restart. It does not return the names
// of removed fields. If earlierUpdate is nil, the result is nil.
func (u *Update) ChangesNeedingRestart(earlierUpdate *Update) (fields []string) {
	if earlierUpdate == nil {
		return nil
	}
	for name, value := range u.fields {
		if !changeNeedsNoRestart(name) && !bytes.Equal(value, earlierUpdate.fields[name]) {
			fields = append(fields, name)
		}
	}
	slices.Sort(fields)
	return fields
}

// changeNeedsNoRestart reports whether the change of a top-level field needs no restart. The addresses of discovery and
// the relay are applied while the program runs. The seed and the initial endpoint list are used only when the program
// starts.
func changeNeedsNoRestart(name string) bool {
	return slices.Contains([]string{seedField, initialEndpointsField, discoveryField, relaySectionField}, name)
}
