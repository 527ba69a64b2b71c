package config

import (
	"context"
	"errors"
	"fmt"
	"path/filepath"
	"testing"
	"time"
)

// fakeClock is a clock that advances only while LoadWithRetry sleeps. Each sleep calls onSleep with the total duration
// of all sleeps so far.
type fakeClock struct {
	now     time.Time
	onSleep func(slept time.Duration)
	slept   time.Duration
}

// retryPolicy returns the default retry policy with the fake clock in place of the wall clock.
func (c *fakeClock) retryPolicy() RetryPolicy {
	policy := DefaultRetryPolicy()
	policy.Now = func() time.Time { return c.now }
	policy.Sleep = func(_ context.Context, d time.Duration) {
		c.now = c.now.Add(d)
		c.slept += d
		c.onSleep(c.slept)
	}
	return policy
}

// TestLoadWithRetryWaitsForCompleteFile checks that a file is loaded if it is completed within 0.6 s of the first
// attempt. If the file is completed later, LoadWithRetry returns the error of the incomplete file within 0.62 s of the
// first attempt.
func TestLoadWithRetryWaitsForCompleteFile(t *testing.T) {
	for _, test := range []struct {
		completedAfter time.Duration
		wantLoaded     bool
	}{{20 * time.Millisecond, true}, {600 * time.Millisecond, true}, {700 * time.Millisecond, false}} {
		t.Run(fmt.Sprint(test.completedAfter), func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "config.json")
			writeFile(t, path, validFile[:len(validFile)/2])
			clock := &fakeClock{now: time.Unix(0, 0), onSleep: func(slept time.Duration) {
				if slept >= test.completedAfter {
					writeFile(t, path, validFile)
				}
			}}
			_, err := LoadWithRetry(t.Context(), environment(map[string]string{pathVariable: path}), clock.retryPolicy())
			if (err == nil) != test.wantLoaded {
				t.Errorf("after %v: got error %v, want loaded %t", clock.slept, err, test.wantLoaded)
			}
			if limit := 620 * time.Millisecond; clock.slept > limit {
				t.Errorf("got a result after %v, want one within %v", clock.slept, limit)
			}
		})
	}
}

func TestLoadWithRetryDoesNotRetryWithoutPath(t *testing.T) {
	clock := &fakeClock{onSleep: func(time.Duration) { t.Error("got a retry, want none") }}
	if _, err := LoadWithRetry(t.Context(), environment(nil), clock.retryPolicy()); !errors.Is(err, ErrPathNotSet) {
		t.Errorf("got error %v, want %v", err, ErrPathNotSet)
	}
}

func TestLoadWithRetryEndsWithContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	clock := &fakeClock{onSleep: func(time.Duration) { cancel() }}
	_, err := LoadWithRetry(ctx, environment(map[string]string{pathVariable: filepath.Join(t.TempDir(), "none")}), clock.retryPolicy())
	if !errors.Is(err, context.Canceled) {
		t.Errorf("got error %v, want %v", err, context.Canceled)
	}
}
