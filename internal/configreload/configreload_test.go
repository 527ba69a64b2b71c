package configreload

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"madderhollow/internal/eventually"
	"madderhollow/internal/handover"
	"madderhollow/internal/logtest"
)

// testTimeout is the longest time that a test waits for a condition. It is long enough for a machine under high load.
const testTimeout = 10 * time.Second

// Addresses of discovery and the relay before a reload, and the address of discovery after it.
const (
	oldDiscoveryAddress = "127.0.0.1:1"
	oldRelayAddress     = "127.0.0.1:2"
	newDiscoveryAddress = "127.0.0.1:3"
)

// configWithDiscovery returns the content of a configuration file with the given discovery address and oldRelayAddress.
func configWithDiscovery(discovery string) string {
	return fmt.Sprintf(`{"name":"n","discovery":%q,"relay":{"address":%q}}`, discovery, oldRelayAddress)
}

// newReloader returns a Reloader with oldDiscoveryAddress and oldRelayAddress. Its configuration file, in a new
// temporary directory, does not exist yet.
func newReloader(t *testing.T, log zerolog.Logger) *Reloader {
	t.Helper()
	return New(Config{
		FilePath:         filepath.Join(t.TempDir(), "config.json"),
		DiscoveryAddress: handover.NewAddress(oldDiscoveryAddress),
		RelayAddress:     handover.NewAddress(oldRelayAddress),
		Log:              log,
	})
}

// writeFile creates or replaces the configuration file of a Reloader.
func writeFile(t *testing.T, reloader *Reloader, text string) {
	t.Helper()
	if err := os.WriteFile(reloader.filePath, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

func TestReloadEndsAtNewAddressOrTimeout(t *testing.T) {
	const startedLine = "info: configuration reload started"
	now := time.Now()
	for name, test := range map[string]struct {
		files         []string // content of the file at each attempt; an empty string does not change the file
		startedAt     time.Time
		wantReloading bool
		wantDiscovery string
		wantLog       []string
	}{
		"new address": {
			files: []string{configWithDiscovery(newDiscoveryAddress)}, startedAt: now, wantDiscovery: newDiscoveryAddress,
			wantLog: []string{startedLine, "info: configuration reloaded"},
		},
		"same addresses": {
			files: []string{configWithDiscovery(oldDiscoveryAddress)}, startedAt: now, wantReloading: true, wantDiscovery: oldDiscoveryAddress,
			wantLog: []string{startedLine},
		},
		"same addresses at the deadline": {
			files: []string{configWithDiscovery(oldDiscoveryAddress)}, startedAt: now.Add(-retryTimeout), wantDiscovery: oldDiscoveryAddress,
			wantLog: []string{startedLine, "info: configuration reload found no new address"},
		},
		"missing, then partly written, then complete": {
			files: []string{"", "", configWithDiscovery(newDiscoveryAddress)[:20], configWithDiscovery(newDiscoveryAddress)[:20],
				configWithDiscovery(newDiscoveryAddress)},
			startedAt:     now,
			wantDiscovery: newDiscoveryAddress,
			wantLog: []string{startedLine, "warn: configuration file not usable; retrying", "warn: configuration file not usable; retrying",
				"info: configuration reloaded"},
		},
		"invalid address at the deadline": {
			files: []string{configWithDiscovery("nowhere")}, startedAt: now.Add(-retryTimeout), wantDiscovery: oldDiscoveryAddress,
			wantLog: []string{startedLine, "warn: configuration file not usable; retrying",
				"error: configuration reload failed; keeping current configuration"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			log := logtest.New(t, "config_reload")
			reloader := newReloader(t, log.Logger())
			reloader.startReload(test.startedAt)
			for _, text := range test.files {
				if text != "" {
					writeFile(t, reloader, text)
				}
				reloader.tryReload()
			}
			if got := !reloader.deadline.IsZero(); got != test.wantReloading {
				t.Errorf("got reloading %t, want %t", got, test.wantReloading)
			}
			if got, _ := reloader.discoveryAddress.Current(); got != test.wantDiscovery {
				t.Errorf("got discovery address %s, want %s", got, test.wantDiscovery)
			}
			log.ExpectLines(t, test.wantLog...)
		})
	}
}

func TestReloadLogsFieldsThatNeedRestart(t *testing.T) {
	var output bytes.Buffer
	reloader := newReloader(t, zerolog.New(&output))
	writeFile(t, reloader, configWithDiscovery(oldDiscoveryAddress))
	ctx, cancel := context.WithCancel(t.Context())
	signals, runDone := make(chan os.Signal), make(chan struct{})
	go func() { defer close(runDone); reloader.Run(ctx, signals) }() // Run returns when the test cancels ctx
	signals <- os.Interrupt                                          // the send blocks until Run has read the file
	writeFile(t, reloader, strings.Replace(configWithDiscovery(newDiscoveryAddress), `"n"`, `"m"`, 1))
	current := func() string { address, _ := reloader.discoveryAddress.Current(); return address }
	if !eventually.True(testTimeout, func() bool { return current() == newDiscoveryAddress }) {
		t.Errorf("got discovery address %s after %v, want %s", current(), testTimeout, newDiscoveryAddress)
	}
	cancel()
	<-runDone
	if want := `"needs_restart":["name"]`; !strings.Contains(output.String(), want) {
		t.Errorf("got log\n%swant a line with %s", output.String(), want)
	}
}
