package main

import (
	"errors"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"

	"madderhollow/internal/eventually"
	"madderhollow/internal/relaytest"
)

// newPipe makes a configuration file whose reader waits for its writer: a test then knows that it is being read.
func newPipe(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Skip("no pipes here")
	}
	return path
}

// fillPipe waits until somebody reads a pipe and gives it a text.
func fillPipe(path string, text []byte) (*os.File, error) {
	pipe, err := os.OpenFile(path, os.O_WRONLY, 0)
	if err != nil {
		return nil, err
	}
	if _, err := pipe.Write(text); err != nil && !errors.Is(err, syscall.EPIPE) { // its reader may have what it needs
		return nil, errors.Join(err, pipe.Close())
	}
	return pipe, nil
}

// A process that is to die may still hold all addresses: the new one waits for them, and is ready once they are free.
func TestAddressesStillHeld(t *testing.T) {
	site := newPlatform(t)
	held := map[string]interface{ Close() error }{}
	for address, network := range map[string]string{site.listen: "tcp", site.status: "tcp", site.peers: "udp"} {
		holder, err := hold(network, address)
		if err != nil {
			t.Fatal(err)
		}
		held[address] = holder
	}
	daemon := start(t, site.path, "-status", site.status)
	if !eventually.True(soon, func() bool { return strings.Contains(daemon.log.String(), site.listen) }) {
		t.Fatalf("it did not tell what it waits for\n%s", daemon.text())
	}
	mustClose(t, held[site.listen])
	site.connectCollectors(t)
	site.relay.Connect(1, "x", 20, false)
	site.mustAttach(t, daemon, "", "without peers and status page the proxy is not attached")
	mustClose(t, held[site.peers])
	mustClose(t, held[site.status])
	up := eventually.True(soon, func() bool {
		_, err := site.health()
		return err == nil && strings.Contains(daemon.log.String(), "peers are heard")
	})
	if !up {
		t.Errorf("status page or peers do not come\n%s", daemon.text())
	}
	daemon.mustTerminate(t)
}

// A configuration that was half there when it was read is read again. How long is checked in package config, on a clock of
// its own; here the program tries on for as long as a busy machine may take.
func TestConfigurationFinishedLate(t *testing.T) {
	site := newPlatform(t)
	whole, err := os.ReadFile(site.path)
	if err != nil {
		t.Fatal(err)
	}
	path := newPipe(t)
	daemon := newProgram(path)
	daemon.Env = append(daemon.Env, retryTimeoutVariable+"="+soon.String())
	launch(t, daemon)
	half, err := fillPipe(path, whole[:len(whole)/2])
	if err != nil {
		t.Fatal(err)
	}
	mustClose(t, half)
	done := make(chan error, 1)
	var over atomic.Bool
	go func() { // the same reader may still be there: what follows half a text is none, and it reads again
		var err error
		for !over.Load() && err == nil {
			var pipe *os.File
			if pipe, err = fillPipe(path, whole); err == nil {
				err = pipe.Close()
			}
		}
		done <- err
	}()
	site.connectCollectors(t)
	daemon.mustTerminate(t)
	over.Store(true)
	reader, err := os.OpenFile(path, os.O_RDWR|syscall.O_NONBLOCK, 0) // lets a writer go that waits for a reader
	if err != nil {
		t.Fatal(err)
	}
	defer mustClose(t, reader)
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// Signals that come before the configuration was read are kept to, and together; neither is a crash.
func TestSignalsBeforeTheConfiguration(t *testing.T) {
	for name, signals := range map[string][]os.Signal{
		"TERM":         {syscall.SIGTERM},
		"HUP and TERM": {syscall.SIGHUP, syscall.SIGTERM},
		"TERM twice":   {syscall.SIGTERM, syscall.SIGTERM},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			path := newPipe(t)
			a := start(t, path)
			pipe, err := fillPipe(path, []byte("{")) // it reads now
			if err != nil {
				t.Fatal(err)
			}
			for _, s := range signals {
				if err := a.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
					t.Error(err)
				}
			}
			a.mustEnd(t)
			mustClose(t, pipe)
		})
	}
}

// SIGTERM ends it with status 0 whatever it is in the midst of.
func TestTerminatedAmid(t *testing.T) {
	for name, test := range map[string]struct {
		prepare func(t *testing.T, p *platform) (reached func() bool) // before the start; nil: it has started
		reload  bool
	}{
		"an address that is taken": {prepare: holdListener},
		"the first list":           {prepare: holdFirstList},
		"a call":                   {prepare: holdCall},
		"a reload":                 {reload: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			site := newPlatform(t)
			var reached func() bool
			if test.prepare != nil {
				reached = test.prepare(t, site)
			}
			daemon := start(t, site.path)
			if reached == nil {
				reached = func() bool {
					return strings.Contains(daemon.log.String(), "started") || strings.Contains(daemon.log.String(), site.listen)
				}
			}
			if !eventually.True(soon, reached) {
				t.Fatalf("it does not get there\n%s", daemon.text())
			}
			if test.reload {
				beginReload(t, site, daemon)
			}
			daemon.mustTerminate(t)
		})
	}
}

func holdListener(t *testing.T, p *platform) (reached func() bool) {
	t.Helper()
	listener, err := net.Listen("tcp", p.listen)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { mustClose(t, listener) })
	return nil // its log names the address
}

func holdFirstList(_ *testing.T, p *platform) (reached func() bool) {
	asked := make(chan struct{}, 100)
	p.agent.Intercept(func(_ http.ResponseWriter, r *http.Request) bool {
		asked <- struct{}{}
		<-r.Context().Done()
		return true
	})
	return func() bool { return len(asked) > 0 }
}

func holdCall(_ *testing.T, p *platform) (reached func() bool) {
	called := make(chan struct{}, 100)
	p.relay.SetFault(func([]string) relaytest.Fault { called <- struct{}{}; return relaytest.SilentAfter })
	p.relay.Connect(1, "x", 20, false)
	return func() bool { return len(called) > 0 }
}

// beginReload has the program read half a configuration.
func beginReload(t *testing.T, p *platform, a *program) {
	t.Helper()
	p.writeConfig(t, 0.5)
	a.signal(t, syscall.SIGHUP)
	if !eventually.True(soon, func() bool { return strings.Contains(a.log.String(), "configuration file not usable") }) {
		t.Errorf("no reload\n%s", a.log)
	}
}

// It ends though nobody reads its log any more.
func TestEndsThoughNobodyReadsItsLog(t *testing.T) {
	const setPipeSize, pageSize = 1031, 4096
	site := newPlatform(t)
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer mustClose(t, reader)
	defer mustClose(t, writer)
	if _, _, errno := syscall.Syscall(syscall.SYS_FCNTL, writer.Fd(), setPipeSize, pageSize); errno != 0 {
		t.Skip("pipes cannot be made small here")
	}
	if _, err := writer.Write(make([]byte, pageSize)); err != nil { // it is full
		t.Fatal(err)
	}
	a := newProgram(site.path)
	a.Stderr, a.Stdout = writer, writer
	launch(t, a)
	site.connectCollectors(t)
	a.mustTerminate(t)
}
