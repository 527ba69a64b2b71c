package config

import (
	"context"
	"errors"
	"fmt"
	"path/filepath"
	"testing"
	"time"
)

// fakeClock advances only while LoadWithRetry sleeps. Each sleep calls onSleep with the total time slept.
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

// A file completed within 0.6 s of the start is loaded. For a later one the error is returned at that time.
func TestLoadWithRetryWaitsForCompleteFile(t *testing.T) {
	for _, test := range []struct {
		completeAfter time.Duration
		loaded        bool
	}{{20 * time.Millisecond, true}, {600 * time.Millisecond, true}, {700 * time.Millisecond, false}} {
		t.Run(fmt.Sprint(test.completeAfter), func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "config.json")
			writeFile(t, path, validFile[:len(validFile)/2])
			clock := &fakeClock{now: time.Unix(0, 0), onSleep: func(slept time.Duration) {
				if slept >= test.completeAfter {
					writeFile(t, path, validFile)
				}
			}}
			_, err := LoadWithRetry(t.Context(), environment(map[string]string{fileVariable: path}), clock.retry())
			if (err == nil) != test.loaded {
				t.Errorf("after %v: got error %v, want loaded %t", clock.slept, err, test.loaded)
			}
			if limit := 620 * time.Millisecond; clock.slept > limit {
				t.Errorf("got a result after %v, want one within %v", clock.slept, limit)
			}
		})
	}
}

func TestLoadWithRetryReportsMissingVariableAtOnce(t *testing.T) {
	clock := &fakeClock{onSleep: func(time.Duration) { t.Error("got a retry, want none") }}
	if _, err := LoadWithRetry(t.Context(), environment(nil), clock.retry()); !errors.Is(err, ErrNoFile) {
		t.Errorf("got error %v, want %v", err, ErrNoFile)
	}
}

func TestLoadWithRetryEndsWithContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	clock := &fakeClock{onSleep: func(time.Duration) { cancel() }}
	_, err := LoadWithRetry(ctx, environment(map[string]string{fileVariable: filepath.Join(t.TempDir(), "none")}), clock.retry())
	if !errors.Is(err, context.Canceled) {
		t.Errorf("got error %v, want %v", err, context.Canceled)
	}
}
