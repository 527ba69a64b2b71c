package loglimit

import (
	"bytes"
	"strings"
	"testing"

	"github.com/rs/zerolog"
)

func TestLoggerDropsLinesAboveBurst(t *testing.T) {
	var output bytes.Buffer
	limitedLog := New(zerolog.New(&output))
	for range 3 * Burst {
		limitedLog.Warn().Msg("line dropped")
		limitedLog.Info().Msg("line skipped")
	}
	if got := strings.Count(output.String(), "\n"); got != Burst {
		t.Errorf("got %d lines, want %d:\n%s", got, Burst, output.String())
	}
}
