package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// assigner is one process of the project, started by the run line of the deploy file.
type assigner struct {
	cmd    *exec.Cmd
	listen string
	config string
	exited chan error
}

// startAssigner writes a configuration file and starts the program. The known list is the platform's list as it stands.
func startAssigner(p *platform, root, folder string, settings map[string]any) *assigner {
	probe := listen()
	a := &assigner{listen: probe.Addr().String(), config: filepath.Join(folder, "config.json"), exited: make(chan error, 1)}
	_ = probe.Close()
	p.mu.Lock()
	known := []task{}
	for _, t := range p.list {
		if t.Status != "left" {
			known = append(known, t)
		}
	}
	text, err := json.Marshal(map[string]any{
		"name": "n1", "listen": a.listen, "discovery": p.discoveryAddr, "seed": "8c1f30d27a5be964",
		"limits":   map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"relay":    map[string]any{"address": p.relayAddr},
		"known":    map[string]any{"index": p.version, "snapshot": true, "endpoints": known},
		"settings": settings,
	})
	p.mu.Unlock()
	if err == nil {
		err = os.WriteFile(a.config, text, 0o600)
	}
	if err != nil {
		fail(err)
	}
	a.start(p, root, folder)
	return a
}

func (a *assigner) start(p *platform, root, folder string) {
	a.cmd = exec.Command("/bin/sh", "-c", runLine(root))
	a.cmd.Dir = root
	a.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // it ends with the stand-in
	a.cmd.Env = append(os.Environ(), "EDGE_CONFIG="+a.config, "TMPDIR="+folder)
	logFile, err := os.OpenFile(filepath.Join(folder, "assigner.log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fail(err)
	}
	a.cmd.Stdout, a.cmd.Stderr = logFile, logFile
	if err := a.cmd.Start(); err != nil {
		fail(err)
	}
	go func() { a.exited <- a.cmd.Wait() }()
	for i := 0; ; i++ {
		if ping(a.listen) == nil {
			break
		}
		if i == 200 {
			a.stop()
			fail(errors.New("the assigner answers no ping"))
		}
		time.Sleep(50 * time.Millisecond)
	}
	p.mu.Lock()
	p.log("assigner %d answers pings", a.cmd.Process.Pid)
	p.mu.Unlock()
}

// runLine returns the command "run" of the deploy file.
func runLine(root string) string {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		fail(err)
	}
	for _, line := range strings.Split(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, "run = \""); ok {
			return rest[:strings.LastIndex(rest, "\"")]
		}
	}
	fail(errors.New("no run line in the deploy file"))
	return ""
}

func ping(address string) error {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	fmt.Fprintf(conn, "{\"@type\":\"ping\"}\n")
	line, err := bufio.NewReader(conn).ReadString('\n')
	if err == nil && !strings.Contains(line, "pong") {
		err = errors.New("no pong")
	}
	return err
}

// stop ends the process, and reports whether it was still running.
func (a *assigner) stop() (running bool) {
	select {
	case err := <-a.exited:
		a.exited <- err
		return false
	default:
	}
	_ = a.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-a.exited:
	case <-time.After(3 * time.Second):
		_ = a.cmd.Process.Kill()
		<-a.exited
	}
	return true
}
