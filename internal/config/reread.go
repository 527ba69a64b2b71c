package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"slices"
)

// Reread is what a running program takes from a new file; the rest needs a restart.
type Reread struct {
	Discovery string
	Relay     string
	members   map[string]json.RawMessage
}

// isRead tells whether a member is for the start alone, or may change while the program runs.
func isRead(member string) bool {
	return slices.Contains([]string{"seed", "known", "discovery", "relay"}, member)
}

// Again reads a file while the program runs. Here it goes before the environment, which is as old as the process.
func Again(path string) (*Reread, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	var f file
	reread := &Reread{}
	if err := errors.Join(json.Unmarshal(data, &f), json.Unmarshal(data, &reread.members)); err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	reread.Discovery = f.Discovery
	reread.Relay = f.Relay.Address
	return reread, checkAddresses(namedAddress{"discovery", reread.Discovery}, namedAddress{"relay.address", reread.Relay})
}

// NeedsRestart names the members that are not as they were, sorted, and take a restart. Before may be nil.
func (r *Reread) NeedsRestart(before *Reread) (members []string) {
	if before == nil {
		return nil
	}
	for member, value := range r.members {
		if !isRead(member) && !bytes.Equal(value, before.members[member]) {
			members = append(members, member)
		}
	}
	slices.Sort(members)
	return members
}
