package wire

import (
	"encoding/json"
	"fmt"
	"math"
	"time"

	"madderhollow/assign"
)

// Endpoint is an endpoint in discovery's form. Its address is left out: endpoints are known by name, and a changed address
// makes no new endpoint.
type Endpoint struct {
	Name   string  `json:"name"`
	Zone   string  `json:"zone"`
	Type   string  `json:"type"`
	Group  int     `json:"group"`
	Status string  `json:"status"`
	Weight float64 `json:"weight"`
	Since  float64 `json:"since_ms"` // Unix time of the start, ms; 0: not stated
}

// List is an answer of discovery, and the configuration's member known.
type List struct {
	Index     *int64     `json:"index"`
	Snapshot  *bool      `json:"snapshot"`
	Endpoints []Endpoint `json:"endpoints"`
}

// List decodes an answer of discovery. One entry that cannot be read makes all of it unusable: in a full list an endpoint
// left out counts as removed.
func (c *Codec) List(body []byte) (assign.EndpointUpdate, error) {
	var list List
	if err := json.Unmarshal(body, &list); err != nil {
		return assign.EndpointUpdate{}, fmt.Errorf("not a list: %w", err)
	}
	return c.EndpointUpdate(list)
}

// EndpointUpdate turns a list into the module's event.
func (c *Codec) EndpointUpdate(list List) (assign.EndpointUpdate, error) {
	if list.Index == nil || *list.Index < 0 {
		return assign.EndpointUpdate{}, fmt.Errorf("list: %w", &MemberError{"index", pointed(list.Index), "a whole number not below 0"})
	}
	if list.Snapshot == nil {
		return assign.EndpointUpdate{}, fmt.Errorf("list: %w", &MemberError{"snapshot", pointed(list.Snapshot), "true or false"})
	}
	update := assign.EndpointUpdate{Version: int(*list.Index), Full: *list.Snapshot,
		Endpoints: make([]assign.Endpoint, len(list.Endpoints))}
	for i, entry := range list.Endpoints {
		endpoint, err := c.endpoint(entry)
		if err != nil {
			return assign.EndpointUpdate{}, fmt.Errorf("list %d: entry %d (%q): %w", update.Version, i, entry.Name, err)
		}
		update.Endpoints[i] = endpoint
	}
	return update, nil
}

// pointed writes a value that may be missing.
func pointed[T any](value *T) string {
	if value == nil {
		return "missing"
	}
	return fmt.Sprint(*value)
}

func (c *Codec) endpoint(entry Endpoint) (assign.Endpoint, error) {
	state, err := endpointState(entry.Status)
	if err != nil {
		return assign.Endpoint{}, err
	}
	if !IsPlain(entry.Name) {
		return assign.Endpoint{}, &MemberError{"name", entry.Name, "a name without , ; * +"}
	}
	if _, err := number("weight", &entry.Weight, maxNumber); err != nil {
		return assign.Endpoint{}, err
	}
	if _, err := number("since_ms", &entry.Since, maxUnixTime); err != nil {
		return assign.Endpoint{}, err
	}
	return assign.Endpoint{Zone: entry.Zone, Group: entry.Group, Name: entry.Name, Weight: entry.Weight, State: state,
		StartedAt: c.clockTime(entry.Since), MachineType: entry.Type}, nil
}

func endpointState(status string) (assign.EndpointState, error) {
	switch status {
	case "active":
		return assign.Ready, nil
	case "leaving":
		return assign.Draining, nil
	case "left":
		return assign.Removed, nil
	}
	return 0, &MemberError{"status", status, "active, leaving or left"}
}

// clockTime takes a Unix time in ms to the assigner's clock, s. A start before the clock's own is long ago, which is 0.
func (c *Codec) clockTime(unix float64) float64 {
	if unix <= 0 {
		return 0
	}
	sinceEpoch := time.UnixMicro(int64(unix * microsPerMillisecond)).Sub(c.epoch)
	return math.Max(0, sinceEpoch.Seconds())
}
