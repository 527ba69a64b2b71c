package conditionlog

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

var errRefused = errors.New("connection refused")

func TestConditionLogsBeginRepeatsAndEnd(t *testing.T) {
	var output bytes.Buffer
	now := time.Unix(1000, 0)
	condition := New(Config{Log: zerolog.New(&output), Failing: "connect failed", Recovered: "connected"})
	condition.now = func() time.Time { return now }
	condition.RecordSuccess() // logs nothing because no attempt has failed
	for range 21 {
		condition.RecordFailure(errRefused, func(line *zerolog.Event) { line.Str("address", "a") })
		now = now.Add(RepeatInterval / 10)
	}
	condition.RecordSuccess()
	condition.RecordSuccess() // logs nothing because the condition has ended already
	want := []string{
		`{"level":"warn","error":"connection refused","attempts":1,"address":"a","message":"connect failed"}`,
		`{"level":"warn","error":"connection refused","attempts":10,"address":"a","message":"connect failed"}`,
		`{"level":"warn","error":"connection refused","attempts":10,"address":"a","message":"connect failed"}`,
		`{"level":"info","attempts_total":21,"lasted_ms":21000,"message":"connected"}`,
	}
	if got, want := strings.TrimSpace(output.String()), strings.Join(want, "\n"); got != want {
		t.Errorf("got\n%s\nwant\n%s", got, want)
	}
}

func TestConditionBeginsAgainWhenAttemptFailsAfterRecovery(t *testing.T) {
	var output bytes.Buffer
	condition := New(Config{Log: zerolog.New(&output), Failing: "connect failed", Recovered: "connected"})
	for range 2 {
		condition.RecordFailure(errRefused, nil)
		condition.RecordSuccess()
	}
	if got := strings.Count(output.String(), `"attempts":1,"message":"connect failed"`); got != 2 {
		t.Errorf("got %d lines for two conditions, want 2:\n%s", got, output.String())
	}
}
