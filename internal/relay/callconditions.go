package relay

import (
	"github.com/rs/zerolog"

	"madderhollow/internal/conditionlog"
	"madderhollow/internal/orderqueue"
	"madderhollow/internal/wire"
)

// callConditions log the reasons for which calls fail, each as a condition that lasts. A condition ends only with an answer
// that shows its end: a relay that is down or breaks every call never ends one.
type callConditions struct {
	unsent     *conditionlog.Condition // calls cannot be written
	unanswered *conditionlog.Condition // calls are ambiguous
	busy       *conditionlog.Condition // the relay delays calls
	syntax     *conditionlog.Condition // the relay cannot parse calls
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
		syntax: conditionlog.New(conditionlog.Config{
			Log:       log,
			Failing:   "relay cannot parse call; retrying",
			Recovered: "relay parses calls again",
		}),
	}
}

// answered ends the conditions that an answer with this error code rules out; empty: no error.
func (c *callConditions) answered(code string) {
	c.unsent.Recover()
	c.unanswered.Recover()
	if code == "" || code == wire.CodeSyntax {
		c.busy.Recover()
	}
	if code == "" {
		c.syntax.Recover()
	}
}

// addOrderCount returns a function that adds a call's number of orders to a log line.
func addOrderCount(call orderqueue.Call) func(line *zerolog.Event) {
	return func(line *zerolog.Event) { line.Int("orders", len(call.Orders)) }
}
