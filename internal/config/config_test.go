package config

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"
)

const usable = `{"name":"n1","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"ffffffffffffffff","relay":{"address":"127.0.0.1:3"},
	"known":{"index":0,"snapshot":true,"endpoints":[]},"peers":["127.0.0.1:4"],"settings":{"az":"x"}}`

// environment reads variables from a map.
func environment(variables map[string]string) func(string) string {
	return func(name string) string { return variables[name] }
}

func writeFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

func TestEnvironmentGoesBeforeTheFile(t *testing.T) {
	config, err := Parse([]byte(usable), environment(map[string]string{nameVariable: "n2", listenVariable: "127.0.0.1:9"}))
	if err != nil {
		t.Fatal(err)
	}
	if config.Name != "n2" || config.Listen != "127.0.0.1:9" || config.Discovery != "127.0.0.1:2" || config.Seed != -1 ||
		config.MemoryMB != defaultMemoryMB || config.Descriptors != defaultDescriptors {
		t.Errorf("got %+v", config)
	}
}

// fakeClock is one that only sleeping moves on; each sleep may do something to the file.
type fakeClock struct {
	now     time.Time
	onSleep func(slept time.Duration)
	slept   time.Duration
}

func (c *fakeClock) retry() Retry {
	retry := DefaultRetry()
	retry.Now = func() time.Time { return c.now }
	retry.Sleep = func(_ context.Context, d time.Duration) {
		c.now = c.now.Add(d)
		c.slept += d
		c.onSleep(c.slept)
	}
	return retry
}

// A file that is whole within 0.6 s of the start is taken, one that is not is told of then, whatever the machine is busy
// with meanwhile.
func TestFileFinishedLate(t *testing.T) {
	for _, test := range []struct {
		finishedAfter time.Duration
		taken         bool
	}{{20 * time.Millisecond, true}, {600 * time.Millisecond, true}, {700 * time.Millisecond, false}} {
		t.Run(fmt.Sprint(test.finishedAfter), func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "config.json")
			writeFile(t, path, usable[:len(usable)/2])
			clock := &fakeClock{now: time.Unix(0, 0), onSleep: func(slept time.Duration) {
				if slept >= test.finishedAfter {
					writeFile(t, path, usable)
				}
			}}
			_, err := Await(t.Context(), environment(map[string]string{fileVariable: path}), clock.retry())
			if (err == nil) != test.taken {
				t.Errorf("after %v: %v", clock.slept, err)
			}
			if clock.slept > 620*time.Millisecond {
				t.Errorf("it is told of after %v", clock.slept)
			}
		})
	}
}

func TestNoFileIsToldAtOnce(t *testing.T) {
	clock := &fakeClock{onSleep: func(time.Duration) { t.Error("it waits") }}
	if _, err := Await(t.Context(), environment(nil), clock.retry()); !errors.Is(err, ErrNoFile) {
		t.Errorf("got %v", err)
	}
}

func TestAwaitEndsWithTheContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	clock := &fakeClock{onSleep: func(time.Duration) { cancel() }}
	_, err := Await(ctx, environment(map[string]string{fileVariable: filepath.Join(t.TempDir(), "none")}), clock.retry())
	if !errors.Is(err, context.Canceled) {
		t.Errorf("got %v", err)
	}
}

// A member that cannot be used is named with its value.
func TestUnusableMembersAreNamed(t *testing.T) {
	for text, member := range map[string]string{
		`{"seed":"x"}`: "seed", `{"seed":"1"}`: "settings", `{"seed":"1","settings":{"az":"x"}}`: "known",
		`{"seed":"1","settings":{"az":"x"},"known":{"index":0,"snapshot":true},"listen":"nowhere"}`: "listen",
	} {
		var memberError *MemberError
		if _, err := Parse([]byte(text), environment(nil)); !errors.As(err, &memberError) || memberError.Member != member {
			t.Errorf("%s: got %v, want one of %s", text, err, member)
		}
	}
}

func TestRereadNamesWhatNeedsARestart(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	writeFile(t, path, usable)
	before, err := Again(path)
	if err != nil {
		t.Fatal(err)
	}
	writeFile(t, path, `{"name":"n9","discovery":"127.0.0.1:5","relay":{"address":"127.0.0.1:6"},"seed":"2","more":1}`)
	after, err := Again(path)
	if err != nil || after.Discovery != "127.0.0.1:5" || after.Relay != "127.0.0.1:6" {
		t.Fatalf("got %+v (%v)", after, err)
	}
	if got := after.NeedsRestart(before); !slices.Equal(got, []string{"more", "name"}) || after.NeedsRestart(nil) != nil {
		t.Errorf("got %v", got)
	}
	writeFile(t, path, `{"discovery":"nowhere"}`)
	if _, err := Again(path); err == nil {
		t.Error("an address that is none was taken")
	}
}
