package main

import (
	"errors"
	"fmt"
	"io"
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

// newPipe creates a configuration file that is a named pipe. Its reader blocks until fillPipe writes, so that a test knows
// when the program reads it.
func newPipe(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Skip("named pipes are not available here")
	}
	return path
}

// fillPipe waits for a reader of a pipe, writes a text and returns the pipe, which is still open.
func fillPipe(path string, text []byte) (*os.File, error) {
	pipe, err := os.OpenFile(path, os.O_WRONLY, 0)
	if err != nil {
		return nil, fmt.Errorf("open pipe: %w", err)
	}
	if _, err := pipe.Write(text); err != nil && !errors.Is(err, syscall.EPIPE) { // the reader may stop early
		return nil, errors.Join(err, pipe.Close())
	}
	return pipe, nil
}

// While the previous process still holds the addresses, the new one retries. It serves as soon as its listener is bound, and
// does not wait for the status page and the peer socket.
func TestStartWhileAddressesInUse(t *testing.T) {
	platform := newPlatform(t)
	held := map[string]io.Closer{}
	for address, network := range map[string]string{platform.listen: "tcp", platform.status: "tcp", platform.peers: "udp"} {
		socket, err := bind(network, address)
		if err != nil {
			t.Fatal(err)
		}
		held[address] = socket
	}
	process := start(t, platform.path, "-status", platform.status)
	if !eventually.True(testTimeout, func() bool { return strings.Contains(process.log.String(), platform.listen) }) {
		t.Fatalf("got no log line about %s within %v, want one\n%s", platform.listen, testTimeout, process.text())
	}
	mustClose(t, held[platform.listen])
	platform.connectCollectors(t)
	platform.relay.Connect(1, "x", 20, false)
	platform.mustAttach(t, process, "", "before status page and peer socket are bound")
	mustClose(t, held[platform.peers])
	mustClose(t, held[platform.status])
	up := eventually.True(testTimeout, func() bool {
		_, err := platform.health()
		return err == nil && strings.Contains(process.log.String(), "peer socket bound")
	})
	if !up {
		t.Errorf("got status page or peer socket not bound within %v, want both\n%s", testTimeout, process.text())
	}
	process.mustTerminate(t)
}

// An incomplete configuration file is read again. Package config tests for how long, on a fake clock; here the program
// retries for as long as a busy machine may need.
func TestStartWhileConfigurationIncomplete(t *testing.T) {
	platform := newPlatform(t)
	whole, err := os.ReadFile(platform.path)
	if err != nil {
		t.Fatal(err)
	}
	path := newPipe(t)
	process := newProcess(path)
	process.Env = append(process.Env, retryTimeoutVariable+"="+testTimeout.String())
	launch(t, process)
	half, err := fillPipe(path, whole[:len(whole)/2])
	if err != nil {
		t.Fatal(err)
	}
	mustClose(t, half)
	done := make(chan error, 1)
	var over atomic.Bool
	// The program may read the rest as a continuation of the first half. That is no valid text either, so it retries, and
	// the goroutine writes the text again until the test sets over.
	go func() { // ends with over, below
		var err error
		for !over.Load() && err == nil {
			var pipe *os.File
			if pipe, err = fillPipe(path, whole); err == nil {
				err = pipe.Close()
			}
		}
		done <- err
	}()
	platform.connectCollectors(t)
	process.mustTerminate(t)
	over.Store(true)
	reader, err := os.OpenFile(path, os.O_RDWR|syscall.O_NONBLOCK, 0) // unblocks a writer that waits for a reader
	if err != nil {
		t.Fatal(err)
	}
	defer mustClose(t, reader)
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// Signals that arrive while the configuration is being read are handled, also several of them.
func TestSignalsBeforeConfigurationIsRead(t *testing.T) {
	for name, signals := range map[string][]os.Signal{
		"TERM":         {syscall.SIGTERM},
		"HUP and TERM": {syscall.SIGHUP, syscall.SIGTERM},
		"TERM twice":   {syscall.SIGTERM, syscall.SIGTERM},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			path := newPipe(t)
			process := start(t, path)
			pipe, err := fillPipe(path, []byte("{")) // the program now reads it
			if err != nil {
				t.Fatal(err)
			}
			for _, s := range signals {
				if err := process.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
					t.Error(err)
				}
			}
			process.mustEnd(t)
			mustClose(t, pipe)
		})
	}
}

// SIGTERM ends the program with status 0 during any operation that may block.
func TestTerminateDuringBlockingOperation(t *testing.T) {
	for name, test := range map[string]struct {
		// prepare makes the operation block. It is called before the start, and returns a function that reports whether
		// the operation has begun; nil stands for the end of the start.
		prepare func(t *testing.T, p *platform) (reached func() bool)
		reload  bool
	}{
		"bind of an address in use": {prepare: holdListener},
		"first list":                {prepare: holdFirstList},
		"call":                      {prepare: holdCall},
		"reload":                    {reload: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			platform := newPlatform(t)
			var reached func() bool
			if test.prepare != nil {
				reached = test.prepare(t, platform)
			}
			process := start(t, platform.path)
			if reached == nil {
				reached = func() bool {
					return strings.Contains(process.log.String(), "started") || strings.Contains(process.log.String(), platform.listen)
				}
			}
			if !eventually.True(testTimeout, reached) {
				t.Fatalf("got the operation not begun within %v, want it to block\n%s", testTimeout, process.text())
			}
			if test.reload {
				beginReload(t, platform, process)
			}
			process.mustTerminate(t)
		})
	}
}

// holdListener binds the assigner's address.
func holdListener(t *testing.T, p *platform) (reached func() bool) {
	t.Helper()
	listener, err := net.Listen("tcp", p.listen)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { mustClose(t, listener) })
	return nil // the log line about the address shows that the operation has begun
}

// holdFirstList makes discovery not answer.
func holdFirstList(_ *testing.T, p *platform) (reached func() bool) {
	requested := make(chan struct{}, 100)
	p.agent.SetInterceptor(func(_ http.ResponseWriter, r *http.Request) bool {
		requested <- struct{}{}
		<-r.Context().Done()
		return true
	})
	return func() bool { return len(requested) > 0 }
}

// holdCall makes the relay not answer calls.
func holdCall(_ *testing.T, p *platform) (reached func() bool) {
	called := make(chan struct{}, 100)
	p.relay.SetFault(func([]string) relaytest.Fault { called <- struct{}{}; return relaytest.SilentAfter })
	p.relay.Connect(1, "x", 20, false)
	return func() bool { return len(called) > 0 }
}

// beginReload makes the program read an incomplete configuration, which it then retries.
func beginReload(t *testing.T, p *platform, process *assignerProcess) {
	t.Helper()
	p.writeConfig(t, 0.5)
	process.signal(t, syscall.SIGHUP)
	if !eventually.True(testTimeout, func() bool { return strings.Contains(process.log.String(), "configuration file not usable") }) {
		t.Errorf("got no log line about an unusable file within %v, want one\n%s", testTimeout, process.log)
	}
}

func TestTerminateWhileLogIsNotRead(t *testing.T) {
	const setPipeSize, pageSize = 1031, 4096
	platform := newPlatform(t)
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer mustClose(t, reader)
	defer mustClose(t, writer)
	if _, _, errno := syscall.Syscall(syscall.SYS_FCNTL, writer.Fd(), setPipeSize, pageSize); errno != 0 {
		t.Skip("pipes cannot be made small here")
	}
	if _, err := writer.Write(make([]byte, pageSize)); err != nil { // fills the pipe
		t.Fatal(err)
	}
	process := newProcess(platform.path)
	process.Stderr, process.Stdout = writer, writer
	launch(t, process)
	platform.connectCollectors(t)
	process.mustTerminate(t)
}
