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

// newConfigPipe creates a named pipe that serves as a configuration file, and returns its path. The program blocks
// while it opens the pipe until a test calls writeConfigPipe, so that the test knows when the program reads the
// configuration file. The test is skipped on systems without named pipes.
func newConfigPipe(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Skip("named pipes are not available on this system")
	}
	return path
}

// writeConfigPipe waits until a process reads the named pipe at path, and writes a text to the pipe. It returns the
// pipe, which the caller closes. An error is returned if the pipe cannot be opened or written.
func writeConfigPipe(path string, text []byte) (*os.File, error) {
	pipe, err := os.OpenFile(path, os.O_WRONLY, 0)
	if err != nil {
		return nil, fmt.Errorf("open pipe: %w", err)
	}
	// EPIPE means that the process has stopped reading the pipe early, which is allowed.
	if _, err := pipe.Write(text); err != nil && !errors.Is(err, syscall.EPIPE) {
		return nil, errors.Join(err, pipe.Close())
	}
	return pipe, nil
}

// hasReader reports whether a process has the named pipe at path open for reading.
func hasReader(path string) bool {
	pipe, err := os.OpenFile(path, os.O_WRONLY|syscall.O_NONBLOCK, 0)
	if errors.Is(err, syscall.ENXIO) {
		return false
	}
	return err != nil || pipe.Close() == nil
}

// The previous process may still occupy the addresses when a new process starts. The new process must retry until it
// has bound its addresses instead of exiting. It must serve collectors and proxies as soon as the listener is bound,
// and must not wait for the status page and the peer socket.
func TestStartWhileAddressesInUse(t *testing.T) {
	platform := newPlatform(t)
	occupiedSockets := map[string]io.Closer{}
	for address, network := range map[string]string{platform.listenAddress: "tcp", platform.statusAddress: "tcp", platform.peerAddress: "udp"} {
		socket, err := bindSocket(network, address)
		if err != nil {
			t.Fatal(err)
		}
		occupiedSockets[address] = socket
	}
	process := startAssigner(t, platform.configPath, "-status", platform.statusAddress)
	if !eventually.True(testTimeout, func() bool { return strings.Contains(process.log.String(), platform.listenAddress) }) {
		t.Fatalf("got no log line about the occupied address %s within %v, want one\n%s", platform.listenAddress, testTimeout, process.killAndReadLog())
	}
	mustClose(t, occupiedSockets[platform.listenAddress])
	platform.connectCollectors(t)
	platform.relay.Connect(1, "x", 20, false)
	platform.mustAttachTables(t, process, "", "before status page and peer socket are bound")
	mustClose(t, occupiedSockets[platform.peerAddress])
	mustClose(t, occupiedSockets[platform.statusAddress])
	bothBound := eventually.True(testTimeout, func() bool {
		_, err := platform.statusCounters()
		return err == nil && strings.Contains(process.log.String(), "peer socket bound")
	})
	if !bothBound {
		t.Errorf("got the status page or the peer socket not bound within %v, want both bound\n%s", testTimeout, process.killAndReadLog())
	}
	process.mustTerminate(t)
}

// The configuration file may be incomplete when the program starts, because another process is still writing it. The
// program must read the file again until it is complete. The tests of package config check the length of the retries
// with a fake clock. In this test the retries may take testTimeout, which is long enough for a busy machine.
func TestStartWhileConfigurationIncomplete(t *testing.T) {
	platform := newPlatform(t)
	completeText, err := os.ReadFile(platform.configPath)
	if err != nil {
		t.Fatal(err)
	}
	path := newConfigPipe(t)
	process := newProcess(path)
	process.Env = append(process.Env, retryTimeoutVariable+"="+testTimeout.String())
	startProcess(t, process)
	firstHalfPipe, err := writeConfigPipe(path, completeText[:len(completeText)/2])
	if err != nil {
		t.Fatal(err)
	}
	mustClose(t, firstHalfPipe)
	writerResult := make(chan error, 1)
	var stopWriter atomic.Bool
	// The program may read the complete text as a continuation of the first half. The combined text is invalid as
	// well, so the program reads the pipe again. The goroutine therefore writes the complete text until the test sets
	// stopWriter. It writes the text once for each time that the program opens the pipe: several copies in a row would be
	// invalid, too.
	go func() { // the goroutine ends after the test has set stopWriter and opened the pipe for reading
		var err error
		for !stopWriter.Load() && err == nil {
			var pipe *os.File
			if pipe, err = writeConfigPipe(path, completeText); err == nil {
				err = pipe.Close()
			}
			eventually.True(testTimeout, func() bool { return stopWriter.Load() || !hasReader(path) })
		}
		writerResult <- err
	}()
	platform.connectCollectors(t)
	process.mustTerminate(t)
	stopWriter.Store(true)
	// Opening the pipe for reading unblocks the goroutine if it waits for a reader.
	reader, err := os.OpenFile(path, os.O_RDWR|syscall.O_NONBLOCK, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer mustClose(t, reader)
	if err := <-writerResult; err != nil {
		t.Error(err)
	}
}

// Signals may arrive while the program reads its configuration file. One or several signals that include SIGTERM must
// make the program exit with status 0. A signal without a handler would kill the process instead.
func TestSignalsBeforeConfigurationIsRead(t *testing.T) {
	for name, signals := range map[string][]os.Signal{
		"SIGTERM":            {syscall.SIGTERM},
		"SIGHUP and SIGTERM": {syscall.SIGHUP, syscall.SIGTERM},
		"SIGTERM twice":      {syscall.SIGTERM, syscall.SIGTERM},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			path := newConfigPipe(t)
			process := startAssigner(t, path)
			pipe, err := writeConfigPipe(path, []byte("{")) // returns once the program reads the pipe
			if err != nil {
				t.Fatal(err)
			}
			for _, s := range signals {
				if err := process.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
					t.Error(err)
				}
			}
			process.mustExitCleanly(t)
			mustClose(t, pipe)
		})
	}
}

// SIGTERM must end the program with status 0 even while an operation blocks, for instance because the relay does not
// respond.
func TestTerminateDuringBlockingOperation(t *testing.T) {
	for name, test := range map[string]struct {
		// prepare makes the operation block. It is called before the start of the program. The returned function
		// reports whether the operation has begun. If prepare or the returned function is nil, the test instead waits
		// for a log line which shows that the program has started or failed to bind its address.
		prepare func(t *testing.T, p *platform) (hasBegun func() bool)
		reload  bool // whether the operation is the reload of an incomplete configuration file
	}{
		"bind of an address in use": {prepare: occupyListenAddress},
		"first endpoint list":       {prepare: blockFirstListRequest},
		"call to the relay":         {prepare: blockCalls},
		"reload of configuration":   {reload: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			platform := newPlatform(t)
			var hasBegun func() bool
			if test.prepare != nil {
				hasBegun = test.prepare(t, platform)
			}
			process := startAssigner(t, platform.configPath)
			if hasBegun == nil {
				hasBegun = func() bool {
					return strings.Contains(process.log.String(), "started") || strings.Contains(process.log.String(), platform.listenAddress)
				}
			}
			if !eventually.True(testTimeout, hasBegun) {
				t.Fatalf("got the operation not begun within %v, want it begun\n%s", testTimeout, process.killAndReadLog())
			}
			if test.reload {
				startReload(t, platform, process)
			}
			process.mustTerminate(t)
		})
	}
}

// occupyListenAddress binds the assigner's address until the end of the test, so that the assigner cannot bind it.
func occupyListenAddress(t *testing.T, p *platform) (hasBegun func() bool) {
	t.Helper()
	listener, err := net.Listen("tcp", p.listenAddress)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { mustClose(t, listener) })
	return nil // without a function hasBegun, the test waits for the log line about the address
}

// blockFirstListRequest makes the discovery agent respond to no request for the endpoint list. The operation has begun
// once the agent has received a request.
func blockFirstListRequest(_ *testing.T, p *platform) (hasBegun func() bool) {
	requests := make(chan struct{}, 100)
	p.agent.SetInterceptor(func(_ http.ResponseWriter, r *http.Request) bool {
		requests <- struct{}{}
		<-r.Context().Done()
		return true
	})
	return func() bool { return len(requests) > 0 }
}

// blockCalls makes the relay respond to no call, and connects a proxy so that the assigner sends orders to the relay in
// a call. The operation has begun once the relay has received a call.
func blockCalls(_ *testing.T, p *platform) (hasBegun func() bool) {
	calls := make(chan struct{}, 100)
	p.relay.SetFault(func([]string) relaytest.Fault { calls <- struct{}{}; return relaytest.HangAfterApplying })
	p.relay.Connect(1, "x", 20, false)
	return func() bool { return len(calls) > 0 }
}

// startReload makes the program reload an incomplete configuration file, and waits until the program has logged that
// the file is not usable. The program then retries.
func startReload(t *testing.T, p *platform, process *assignerProcess) {
	t.Helper()
	p.writeConfig(t, 0.5)
	process.signal(t, syscall.SIGHUP)
	if !eventually.True(testTimeout, func() bool { return strings.Contains(process.log.String(), "configuration file not usable") }) {
		t.Errorf("got no log line about an unusable configuration file within %v, want one\n%s", testTimeout, process.log)
	}
}

// SIGTERM must end the program with status 0 even if no process reads its log. Writing to standard error then blocks
// once the pipe is full, and must not delay the exit.
func TestTerminateWhileLogIsNotRead(t *testing.T) {
	// setPipeSize is the fcntl command F_SETPIPE_SZ of Linux. pageSize is the smallest size of a pipe, in bytes.
	const setPipeSize, pageSize = 1031, 4096
	platform := newPlatform(t)
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer mustClose(t, reader)
	defer mustClose(t, writer)
	if _, _, errno := syscall.Syscall(syscall.SYS_FCNTL, writer.Fd(), setPipeSize, pageSize); errno != 0 {
		t.Skip("the size of a pipe cannot be set on this system")
	}
	// A write of pageSize bytes fills the pipe, so that the next log line of the program blocks.
	if _, err := writer.Write(make([]byte, pageSize)); err != nil {
		t.Fatal(err)
	}
	process := newProcess(platform.configPath)
	process.Stderr, process.Stdout = writer, writer
	startProcess(t, process)
	platform.connectCollectors(t)
	process.mustTerminate(t)
}
