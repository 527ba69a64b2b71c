package main

import (
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"

	"madderhollow/internal/standin"
)

// pipe makes a configuration file whose reader waits for its writer: a test then knows that it is being read.
func pipe(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Skip("no pipes here")
	}
	return path
}

// fill waits until somebody reads a pipe and gives it a text.
func fill(t *testing.T, path string, text []byte) *os.File {
	t.Helper()
	f, err := os.OpenFile(path, os.O_WRONLY, 0)
	if err != nil {
		t.Error(err)
		return nil
	}
	f.Write(text)
	return f
}

// A process that is to die may still hold all addresses: the new one waits for them, and is ready once they are free.
func TestAddressesStillHeld(t *testing.T) {
	p := platform(t)
	listener, err := net.Listen("tcp", p.listen)
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	page, err := net.Listen("tcp", p.status)
	if err != nil {
		t.Fatal(err)
	}
	defer page.Close()
	peers, err := net.ListenPacket("udp", p.config["peer_listen"].(string))
	if err != nil {
		t.Fatal(err)
	}
	defer peers.Close()
	a := start(t, p.path, "-status", p.status)
	if !standin.Until(soon, func() bool { return strings.Contains(a.log.String(), p.listen) }) {
		t.Fatalf("it did not tell what it waits for\n%s", a.text())
	}
	listener.Close()
	p.collect(t)
	p.relay.Join(1, "x", 20, false)
	if !standin.Until(soon, func() bool { return p.holds("") }) {
		t.Fatalf("without peers and page the proxy is not bound\n%s", a.text())
	}
	peers.Close()
	page.Close()
	up := standin.Until(soon, func() bool {
		resp, err := http.Get("http://" + p.status + "/healthz")
		if err == nil {
			resp.Body.Close()
		}
		return err == nil && strings.Contains(a.log.String(), "peers are heard")
	})
	http.DefaultClient.CloseIdleConnections()
	if !up {
		t.Errorf("page or peers do not come\n%s", a.text())
	}
	a.Process.Signal(syscall.SIGTERM)
	if err := a.end(t); err != nil {
		t.Errorf("SIGTERM: %v\n%s", err, a.text())
	}
}

// A configuration that was half there when it was read is read again.
func TestConfigurationFinishedLate(t *testing.T) {
	p := platform(t)
	whole, err := os.ReadFile(p.path)
	if err != nil {
		t.Fatal(err)
	}
	path := pipe(t)
	a := start(t, path)
	if f := fill(t, path, whole[:len(whole)/2]); f != nil {
		f.Close()
	}
	done := make(chan struct{})
	var over atomic.Bool
	go func() { // the same reader may still be there: what follows half a text is none, and it reads again
		defer close(done)
		for !over.Load() {
			if f := fill(t, path, whole); f != nil {
				f.Close()
			}
		}
	}()
	p.collect(t)
	a.Process.Signal(syscall.SIGTERM)
	if err := a.end(t); err != nil {
		t.Errorf("SIGTERM: %v\n%s", err, a.text())
	}
	over.Store(true)
	r, err := os.OpenFile(path, os.O_RDWR|syscall.O_NONBLOCK, 0) // lets a writer go that waits for a reader
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	<-done
}

// Signals that come before the configuration was read are kept to, and together; neither is a crash.
func TestSignalsBeforeTheConfiguration(t *testing.T) {
	for name, signals := range map[string][]os.Signal{"term": {syscall.SIGTERM}, "hup and term": {syscall.SIGHUP, syscall.SIGTERM},
		"term twice": {syscall.SIGTERM, syscall.SIGTERM}} {
		path := pipe(t)
		a := start(t, path)
		f := fill(t, path, []byte("{")) // it reads now
		for _, s := range signals {
			a.Process.Signal(s)
		}
		if err := a.end(t); err != nil {
			t.Errorf("%s: %v\n%s", name, err, a.text())
		}
		f.Close()
	}
}

// SIGTERM ends it with status 0 whatever it is amid: waiting for an address, the first list, a reload, a call.
func TestSIGTERMAmid(t *testing.T) {
	for name, amid := range map[string]func(*testing.T, *place) (ready func() bool, before func(*program)){
		"an address that is taken": func(t *testing.T, p *place) (func() bool, func(*program)) {
			l, err := net.Listen("tcp", p.listen)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { l.Close() })
			return nil, nil
		},
		"the first list": func(t *testing.T, p *place) (func() bool, func(*program)) {
			asked := make(chan struct{}, 100)
			p.agent.OnAsk(func(_ http.ResponseWriter, r *http.Request) bool {
				asked <- struct{}{}
				<-r.Context().Done()
				return true
			})
			return func() bool { return len(asked) > 0 }, nil
		},
		"a call": func(t *testing.T, p *place) (func() bool, func(*program)) {
			called := make(chan struct{}, 100)
			p.relay.Look(func() {
				p.relay.OnCall = func([]string) standin.Break { called <- struct{}{}; return standin.SilentAfter }
			})
			p.relay.Join(1, "x", 20, false)
			return func() bool { return len(called) > 0 }, nil
		},
		"a reload": func(t *testing.T, p *place) (func() bool, func(*program)) {
			return nil, func(a *program) {
				p.write(t, 0.5)
				a.Process.Signal(syscall.SIGHUP)
				if !standin.Until(soon, func() bool { return strings.Contains(a.log.String(), "the old configuration stays") }) {
					t.Errorf("no reload\n%s", a.log)
				}
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			p := platform(t)
			ready, before := amid(t, p)
			a := start(t, p.path)
			if ready == nil {
				ready = func() bool {
					return strings.Contains(a.log.String(), p.listen) || strings.Contains(a.log.String(), "started")
				}
			}
			if !standin.Until(soon, ready) {
				t.Fatalf("it does not get there\n%s", a.text())
			}
			if before != nil {
				before(a)
			}
			a.Process.Signal(syscall.SIGTERM)
			if err := a.end(t); err != nil {
				t.Errorf("SIGTERM: %v\n%s", err, a.text())
			}
		})
	}
}

// It ends though nobody reads its log any more.
func TestEndsThoughNobodyReadsItsLog(t *testing.T) {
	p := platform(t)
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	defer w.Close()
	const setPipeSize, page = 1031, 4096
	if _, _, errno := syscall.Syscall(syscall.SYS_FCNTL, w.Fd(), setPipeSize, page); errno != 0 {
		t.Skip("pipes cannot be made small here")
	}
	w.Write(make([]byte, page)) // full
	a := launch(t, w, p.path)
	p.collect(t)
	a.Process.Signal(syscall.SIGTERM)
	if err := a.end(t); err != nil {
		t.Errorf("SIGTERM: %v", err)
	}
}
