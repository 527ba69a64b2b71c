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

// DecodeEndpointList decodes an endpoint list that discovery has sent. One invalid entry makes the whole list an error,
// because an endpoint that is left out of a full list counts as removed.
func (c *Codec) DecodeEndpointList(body []byte) (assign.EndpointUpdate, error) {
	var list EndpointList
	if err := json.Unmarshal(body, &list); err != nil {
		return assign.EndpointUpdate{}, fmt.Errorf("malformed endpoint list: %w", err)
	}
	return c.ConvertEndpointList(list)
}

// ConvertEndpointList converts an endpoint list into an event. One invalid entry makes the whole list an error.
func (c *Codec) ConvertEndpointList(list EndpointList) (assign.EndpointUpdate, error) {
	if err := checkHeader(list); err != nil {
		return assign.EndpointUpdate{}, fmt.Errorf("endpoint list: %w", err)
	}
	endpoints := make([]assign.Endpoint, len(list.Endpoints))
	for i, entry := range list.Endpoints {
		validator := &fieldcheck.Validator{}
		endpoints[i] = c.decodeEndpoint(validator, entry)
		if err := validator.Err(); err != nil {
			return assign.EndpointUpdate{}, fmt.Errorf("endpoint list version %d: entry %d (%q): %w", *list.Version, i, entry.Name, err)
		}
	}
	return assign.EndpointUpdate{Version: int(*list.Version), Full: *list.Full, Endpoints: endpoints}, nil
}

// checkHeader returns an error if an endpoint list has no valid version or does not state whether it is complete.
func checkHeader(list EndpointList) error {
	if list.Version == nil || *list.Version < 0 {
		return &fieldcheck.Error{Field: versionField, Value: valueOrMissing(list.Version), Want: "version of the list: a whole number from 0"}
	}
	if list.Full == nil {
		return &fieldcheck.Error{Field: fullField, Value: fieldcheck.Missing, Want: "whether the list is complete: true or false"}
	}
	return nil
}

// valueOrMissing returns the text of a field's value for an error message. The parameter value is nil if the field is
// missing.
func valueOrMissing(value *int64) string {
	if value == nil {
		return fieldcheck.Missing
	}
	return strconv.FormatInt(*value, 10)
}

// decodeEndpoint converts one entry of an endpoint list and records the first invalid field in validator.
func (c *Codec) decodeEndpoint(validator *fieldcheck.Validator, entry ListedEndpoint) assign.Endpoint {
	state, err := decodeEndpointState(entry.State)
	validator.RecordError(err)
	if !isValidOrderArgument(entry.Name) {
		validator.RecordError(&fieldcheck.Error{Field: nameField, Value: strconv.Quote(entry.Name),
			Want: fmt.Sprintf("name of an endpoint: a string, not empty, without any of %q", reservedCharacters)})
	}
	return assign.Endpoint{
		Zone:         entry.Zone,
		MachineGroup: entry.Group,
		Name:         entry.Name,
		Weight:       validator.Number(weightField, "weight", &entry.Weight, maxFieldValue),
		State:        state,
		StartedAt: c.toAssignerClock(validator.Number(startedAtField, "Unix time of the start in ms",
			&entry.StartedAt, maxUnixMilliseconds)),
		MachineType: entry.MachineType,
	}
}

// decodeEndpointState returns the endpoint state that a text in an endpoint list stands for. The error is a
// *fieldcheck.Error.
func decodeEndpointState(state string) (assign.EndpointState, error) {
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

// toAssignerClock converts the start time of an endpoint from Unix time in milliseconds to the time in seconds on the
// clock of the decision module (package assign). If the endpoint started before that clock showed 0, the result is 0,
// which stands for a start long ago.
func (c *Codec) toAssignerClock(unixMilliseconds float64) float64 {
	if unixMilliseconds <= 0 {
		return 0
	}
	sinceClockZero := time.UnixMicro(int64(unixMilliseconds * microsecondsPerMillisecond)).Sub(c.clockZero)
	return math.Max(0, sinceClockZero.Seconds())
}
