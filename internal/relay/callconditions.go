package relay

import (
	"github.com/rs/zerolog"

	"madderhollow/internal/conditionlog"
	"madderhollow/internal/orderqueue"
	"madderhollow/internal/wire"
)

// callConditions holds one logged condition for each reason why calls fail. A condition ends only with a response that
// rules it out. While the relay is down or breaks every call, no condition ends.
type callConditions struct {
	unsent     *conditionlog.Condition // condition that calls cannot be sent
	unanswered *conditionlog.Condition // condition that the outcome of calls is unknown for lack of a valid response
	busy       *conditionlog.Condition // condition that the relay is busy
	unparsable *conditionlog.Condition // condition that the relay cannot parse calls
}

func newCallConditions(log zerolog.Logger) callConditions {
	return callConditions{
		unsent: conditionlog.New(conditionlog.Config{
			Log:       log,
			Failing:   "call not sent; retrying",
			Recovered: "calls sent again",
		}),
		unanswered: conditionlog.New(conditionlog.Config{
			Log:       log,
			Failing:   "call outcome unknown; repeating unless acknowledged",
			Recovered: "calls answered again",
		}),
		busy: conditionlog.New(conditionlog.Config{
			Log:       log,
			Failing:   "relay busy; call delayed",
			Recovered: "relay no longer busy",
		}),
		unparsable: conditionlog.New(conditionlog.Config{
			Log:       log,
			Failing:   "relay cannot parse call; retrying",
			Recovered: "relay parses calls again",
		}),
	}
}

// recordResponse ends the conditions that are ruled out by a response of the relay. The parameter code is the error
// code of the response, which is empty if the response reports no error.
func (c *callConditions) recordResponse(code string) {
	c.unsent.RecordSuccess()
	c.unanswered.RecordSuccess()
	if code == "" || code == wire.ErrorCodeSyntax {
		c.busy.RecordSuccess()
	}
	if code == "" {
		c.unparsable.RecordSuccess()
	}
}

// addOrderCount returns a function that adds the number of orders of a call to a log line.
func addOrderCount(call orderqueue.Call) func(line *zerolog.Event) {
	return func(line *zerolog.Event) { line.Int("orders", len(call.Orders)) }
}
