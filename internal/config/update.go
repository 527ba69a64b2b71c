package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"slices"
)

// Update is what a running program applies of a new configuration file. Other members need a restart.
type Update struct {
	Discovery string // address
	Relay     string // address
	members   map[string]json.RawMessage
}

// LoadUpdate reads a new configuration file while the program runs. The file takes precedence over the environment here,
// because the environment is as old as the process.
func LoadUpdate(path string) (*Update, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	var members file
	update := &Update{}
	if err := errors.Join(json.Unmarshal(data, &members), json.Unmarshal(data, &update.members)); err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	update.Discovery = members.Discovery
	update.Relay = members.Relay.Address
	return update, checkAddresses(namedAddress{discoveryMember, update.Discovery}, namedAddress{relayAddressMember, update.Relay})
}

// NeedsRestart returns the names of the members that differ from an earlier file and take effect only after a restart,
// sorted. Before may be nil, which differs in nothing.
func (u *Update) NeedsRestart(before *Update) (members []string) {
	if before == nil {
		return nil
	}
	for name, value := range u.members {
		if !needsNoRestart(name) && !bytes.Equal(value, before.members[name]) {
			members = append(members, name)
		}
	}
	slices.Sort(members)
	return members
}

// needsNoRestart reports whether a member may change while the program runs, or matters only at the start.
func needsNoRestart(name string) bool {
	return slices.Contains([]string{seedMember, initialEndpointsMember, discoveryMember, relayMember}, name)
}
