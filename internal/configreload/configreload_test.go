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

// testTimeout bounds any wait. It is long enough for a busy machine.
const testTimeout = 10 * time.Second

// Addresses before and after a reload.
const (
	oldDiscovery = "127.0.0.1:1"
	oldRelay     = "127.0.0.1:2"
	newDiscovery = "127.0.0.1:3"
)

// fileWith returns a configuration file with a discovery address.
func fileWith(discovery string) string {
	return fmt.Sprintf(`{"name":"n","discovery":%q,"relay":{"address":%q}}`, discovery, oldRelay)
}

// newReloader returns a reloader of a file, which does not exist yet, in a folder of its own.
func newReloader(t *testing.T, log zerolog.Logger) *Reloader {
	t.Helper()
	return New(Config{
		Path:      filepath.Join(t.TempDir(), "config.json"),
		Discovery: handover.NewAddress(oldDiscovery),
		Relay:     handover.NewAddress(oldRelay),
		Log:       log,
	})
}

// writeFile replaces the content of a reloader's file.
func writeFile(t *testing.T, reloader *Reloader, text string) {
	t.Helper()
	if err := os.WriteFile(reloader.path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

func TestReloadEndsAtNewAddressOrTimeout(t *testing.T) {
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
			files: []string{fileWith(oldDiscovery)}, begun: now, wantReloading: true, wantDiscovery: oldDiscovery,
			wantLog: []string{begun},
		},
		"same addresses at the deadline": {
			files: []string{fileWith(oldDiscovery)}, begun: now.Add(-retryTimeout), wantDiscovery: oldDiscovery,
			wantLog: []string{begun, "info: configuration reload found no new address"},
		},
		"missing, then half written, then whole": {
			files: []string{"", "", fileWith(newDiscovery)[:20], fileWith(newDiscovery)[:20], fileWith(newDiscovery)}, begun: now,
			wantDiscovery: newDiscovery,
			wantLog: []string{begun, "warn: configuration file not usable; retrying", "warn: configuration file not usable; retrying",
				"info: configuration reloaded"},
		},
		"wrong address at the deadline": {
			files: []string{fileWith("nowhere")}, begun: now.Add(-retryTimeout), wantDiscovery: oldDiscovery,
			wantLog: []string{begun, "warn: configuration file not usable; retrying",
				"error: configuration reload failed; keeping current configuration"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			log := logtest.New(t, "config_reload")
			reloader := newReloader(t, log.Logger())
			reloader.begin(test.begun)
			for _, text := range test.files {
				if text != "" {
					writeFile(t, reloader, text)
				}
				reloader.attempt()
			}
			if got := !reloader.deadline.IsZero(); got != test.wantReloading {
				t.Errorf("got reloading %t, want %t", got, test.wantReloading)
			}
			if got, _ := reloader.discovery.Current(); got != test.wantDiscovery {
				t.Errorf("got discovery address %s, want %s", got, test.wantDiscovery)
			}
			log.ExpectLines(t, test.wantLog...)
		})
	}
}

func TestReloadLogsFieldsThatNeedRestart(t *testing.T) {
	var output bytes.Buffer
	reloader := newReloader(t, zerolog.New(&output))
	writeFile(t, reloader, fileWith(oldDiscovery))
	ctx, cancel := context.WithCancel(t.Context())
	signals, ended := make(chan os.Signal), make(chan struct{})
	go func() { defer close(ended); reloader.Run(ctx, signals) }() // ends with ctx, below
	signals <- os.Interrupt                                        // received only once Run has read the initial file
	writeFile(t, reloader, strings.Replace(fileWith(newDiscovery), `"n"`, `"m"`, 1))
	current := func() string { address, _ := reloader.discovery.Current(); return address }
	if !eventually.True(testTimeout, func() bool { return current() == newDiscovery }) {
		t.Errorf("got discovery address %s after %v, want %s", current(), testTimeout, newDiscovery)
	}
	cancel()
	<-ended
	if want := `"needs_restart":["name"]`; !strings.Contains(output.String(), want) {
		t.Errorf("got log\n%swant a line with %s", output.String(), want)
	}
}
