package wire

import (
	"encoding/json"
	"fmt"
	"math"
	"strconv"
	"time"

	"madderhollow/assign"
	"madderhollow/internal/fieldcheck"
)

// DecodeEndpointList decodes an answer of discovery. One entry that cannot be used makes the whole list unusable: an
// endpoint left out of a full list would count as removed.
func (c *Codec) DecodeEndpointList(body []byte) (assign.EndpointUpdate, error) {
	var list EndpointList
	if err := json.Unmarshal(body, &list); err != nil {
		return assign.EndpointUpdate{}, fmt.Errorf("malformed endpoint list: %w", err)
	}
	return c.EndpointUpdate(list)
}

// EndpointUpdate converts an endpoint list into an event.
func (c *Codec) EndpointUpdate(list EndpointList) (assign.EndpointUpdate, error) {
	if err := checkHeader(list); err != nil {
		return assign.EndpointUpdate{}, fmt.Errorf("endpoint list: %w", err)
	}
	endpoints := make([]assign.Endpoint, len(list.Endpoints))
	for i, entry := range list.Endpoints {
		checks := &fieldcheck.Checks{}
		endpoints[i] = c.endpoint(checks, entry)
		if err := checks.Err(); err != nil {
			return assign.EndpointUpdate{}, fmt.Errorf("endpoint list version %d: entry %d (%q): %w", *list.Version, i, entry.Name, err)
		}
	}
	return assign.EndpointUpdate{Version: int(*list.Version), Full: *list.Full, Endpoints: endpoints}, nil
}

// checkHeader checks the fields of a list besides its entries.
func checkHeader(list EndpointList) error {
	if list.Version == nil || *list.Version < 0 {
		return &fieldcheck.Error{Field: versionField, Value: valueOrMissing(list.Version), Want: "version of the list: a whole number from 0"}
	}
	if list.Full == nil {
		return &fieldcheck.Error{Field: fullField, Value: fieldcheck.Missing, Want: "whether the list is complete: true or false"}
	}
	return nil
}

func valueOrMissing(value *int64) string {
	if value == nil {
		return fieldcheck.Missing
	}
	return strconv.FormatInt(*value, 10)
}

func (c *Codec) endpoint(checks *fieldcheck.Checks, entry ListedEndpoint) assign.Endpoint {
	state, err := endpointState(entry.State)
	checks.Keep(err)
	if !isOrderArgument(entry.Name) {
		checks.Keep(&fieldcheck.Error{Field: nameField, Value: strconv.Quote(entry.Name),
			Want: fmt.Sprintf("name of an endpoint: a string, not empty, without any of %q", reservedCharacters)})
	}
	return assign.Endpoint{
		Zone:         entry.Zone,
		MachineGroup: entry.Group,
		Name:         entry.Name,
		Weight:       checks.Number(weightField, "weight", &entry.Weight, maxNumber),
		State:        state,
		StartedAt:    c.clockTime(checks.Number(startedAtField, "Unix time of the start in ms", &entry.StartedAt, maxUnixTime)),
		MachineType:  entry.MachineType,
	}
}

func endpointState(state string) (assign.EndpointState, error) {
	switch state {
	case stateReady:
		return assign.Ready, nil
	case stateDraining:
		return assign.Draining, nil
	case stateRemoved:
		return assign.Removed, nil
	}
	return 0, &fieldcheck.Error{Field: stateField, Value: strconv.Quote(state),
		Want: fmt.Sprintf("state of an endpoint: %s, %s or %s", stateReady, stateDraining, stateRemoved)}
}

// clockTime converts a Unix time in ms to the assigner's clock, in s. Times before the clock's 0 become 0, which means long
// ago.
func (c *Codec) clockTime(unix float64) float64 {
	if unix <= 0 {
		return 0
	}
	sinceEpoch := time.UnixMicro(int64(unix * microsecondsPerMillisecond)).Sub(c.epoch)
	return math.Max(0, sinceEpoch.Seconds())
}
