package configreload

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"madderhollow/internal/eventually"
	"madderhollow/internal/handover"
)

// testTimeout bounds any wait on a busy machine.
const testTimeout = 10 * time.Second

// Addresses before and after a reload.
const (
	formerDiscovery = "127.0.0.1:1"
	formerRelay     = "127.0.0.1:2"
	newDiscovery    = "127.0.0.1:3"
)

// fileWith returns a configuration file with a discovery address.
func fileWith(discovery string) string {
	return fmt.Sprintf(`{"name":"n","discovery":%q,"relay":{"address":%q}}`, discovery, formerRelay)
}

// harness is a reloader of a file in a folder of its own, with its log.
type harness struct {
	*Reloader
	output bytes.Buffer
}

func newHarness(t *testing.T) *harness {
	t.Helper()
	setup := &harness{}
	setup.Reloader = New(Config{
		Path:      filepath.Join(t.TempDir(), "config.json"),
		Discovery: handover.NewAddress(formerDiscovery),
		Relay:     handover.NewAddress(formerRelay),
		Log:       zerolog.New(&setup.output),
	})
	return setup
}

func (h *harness) write(t *testing.T, text string) {
	t.Helper()
	if err := os.WriteFile(h.path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// checkLog compares the log with lines of level and message.
func (h *harness) checkLog(t *testing.T, want ...string) {
	t.Helper()
	var got []string
	for line := range strings.Lines(h.output.String()) {
		var fields struct{ Level, Component, Message string }
		if err := json.Unmarshal([]byte(line), &fields); err != nil {
			t.Fatalf("log line %s: %v", line, err)
		}
		if fields.Component != "config_reload" {
			t.Errorf("log line %s: got component %q, want config_reload", line, fields.Component)
		}
		got = append(got, fields.Level+": "+fields.Message)
	}
	if !slices.Equal(got, want) {
		t.Errorf("got log lines\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
}

func TestAttemptsEndReloadByFileAndTime(t *testing.T) {
	const begun = "info: configuration reload started"
	now := time.Now()
	for name, test := range map[string]struct {
		files         []string // of one attempt each; empty: missing
		begun         time.Time
		wantReloading bool
		wantDiscovery string
		wantLog       []string
	}{
		"new address": {
			files: []string{fileWith(newDiscovery)}, begun: now, wantDiscovery: newDiscovery,
			wantLog: []string{begun, "info: configuration reloaded"},
		},
		"same addresses": {
			files: []string{fileWith(formerDiscovery)}, begun: now, wantReloading: true, wantDiscovery: formerDiscovery,
			wantLog: []string{begun},
		},
		"same addresses at the deadline": {
			files: []string{fileWith(formerDiscovery)}, begun: now.Add(-retryTimeout), wantDiscovery: formerDiscovery,
			wantLog: []string{begun, "info: configuration reload found no new address"},
		},
		"missing, then half written, then whole": {
			files: []string{"", "", fileWith(newDiscovery)[:20], fileWith(newDiscovery)[:20], fileWith(newDiscovery)}, begun: now,
			wantDiscovery: newDiscovery,
			wantLog: []string{begun, "warn: configuration file not usable; retrying", "warn: configuration file not usable; retrying",
				"info: configuration reloaded"},
		},
		"wrong address at the deadline": {
			files: []string{fileWith("nowhere")}, begun: now.Add(-retryTimeout), wantDiscovery: formerDiscovery,
			wantLog: []string{begun, "warn: configuration file not usable; retrying",
				"error: configuration reload failed; keeping current configuration"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			setup := newHarness(t)
			setup.begin(test.begun)
			for _, text := range test.files {
				if text != "" {
					setup.write(t, text)
				}
				setup.attempt()
			}
			if got := !setup.deadline.IsZero(); got != test.wantReloading {
				t.Errorf("got reloading %t, want %t", got, test.wantReloading)
			}
			if got, _ := setup.discovery.Current(); got != test.wantDiscovery {
				t.Errorf("got discovery address %s, want %s", got, test.wantDiscovery)
			}
			setup.checkLog(t, test.wantLog...)
		})
	}
}

func TestReloadLogsMembersThatNeedRestart(t *testing.T) {
	setup := newHarness(t)
	setup.write(t, fileWith(formerDiscovery))
	ctx, cancel := context.WithCancel(t.Context())
	signals, ended := make(chan os.Signal), make(chan struct{})
	go func() { defer close(ended); setup.Run(ctx, signals) }() // ends with ctx, below
	signals <- os.Interrupt                                     // received only once Run has read the initial file
	setup.write(t, strings.Replace(fileWith(newDiscovery), `"n"`, `"m"`, 1))
	moved := func() bool { address, _ := setup.discovery.Current(); return address == newDiscovery }
	if !eventually.True(testTimeout, moved) {
		t.Errorf("the discovery address has not moved to %s", newDiscovery)
	}
	cancel()
	<-ended
	if want := `"needs_restart":["name"]`; !strings.Contains(setup.output.String(), want) {
		t.Errorf("got log\n%swant a line with %s", setup.output.String(), want)
	}
}
