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

func TestConditionLogsBeginRepeatAndEnd(t *testing.T) {
	var output bytes.Buffer
	now := time.Unix(1000, 0)
	condition := New(Config{Log: zerolog.New(&output), Failing: "connect failed", Recovered: "connected"})
	condition.now = func() time.Time { return now }
	condition.Recover() // without a condition there is no line
	for range 21 {
		condition.Fail(errRefused, func(line *zerolog.Event) { line.Str("address", "a") })
		now = now.Add(RepeatInterval / 10)
	}
	condition.Recover()
	condition.Recover()
	want := []string{
		`{"level":"warn","error":"connection refused","attempts":1,"address":"a","message":"connect failed"}`,
		`{"level":"warn","error":"connection refused","attempts":10,"address":"a","message":"connect failed"}`,
		`{"level":"warn","error":"connection refused","attempts":10,"address":"a","message":"connect failed"}`,
		`{"level":"info","attempts":21,"lasted_ms":21000,"message":"connected"}`,
	}
	got := strings.Split(strings.TrimSpace(output.String()), "\n")
	if strings.Join(got, "\n") != strings.Join(want, "\n") {
		t.Errorf("got\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
}

func TestConditionBeginsAgainAfterItsEnd(t *testing.T) {
	var output bytes.Buffer
	condition := New(Config{Log: zerolog.New(&output), Failing: "connect failed", Recovered: "connected"})
	for range 2 {
		condition.Fail(errRefused, nil)
		condition.Recover()
	}
	if got := strings.Count(output.String(), `"attempts":1,"message":"connect failed"`); got != 2 {
		t.Errorf("got %d lines for two conditions, want 2:\n%s", got, output.String())
	}
}
