package logtest

import (
	"testing"
	"time"
)

func TestRecorderKeepsLevelAndMessage(t *testing.T) {
	recorder := New(t, "relay")
	log := recorder.Logger().With().Str("component", "relay").Logger()
	log.Info().Int("attempts", 2).Msg("connected")
	log.Warn().Msg("disconnected")
	log.Info().Msg("connected")
	recorder.ExpectLines(t, "info: connected", "warn: disconnected", "info: connected")
	recorder.ExpectOneLineEach(t, "disconnected")
	recorder.AwaitMessage(t, time.Second, "connected")
	if got := recorder.CountMessage("connected"); got != 2 {
		t.Errorf("got %d lines with message connected, want 2", got)
	}
}
