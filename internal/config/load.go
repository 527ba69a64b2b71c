package config

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"time"

	"madderhollow/internal/backoff"
)

// Environment variables.
const (
	fileVariable      = "EDGE_CONFIG"    // path of the file
	nameVariable      = "EDGE_NAME"      // overrides "name"
	listenVariable    = "EDGE_LISTEN"    // overrides "listen"
	discoveryVariable = "EDGE_DISCOVERY" // overrides "discovery"
)

// ErrNoFile reports that the environment names no file.
var ErrNoFile = errors.New(fileVariable + " is not set")

// Retry describes how LoadWithRetry repeats its attempts. The file may be written while the assigner starts.
type Retry struct {
	Timeout  time.Duration                        // since the first attempt; the first attempt after it is the last one
	Interval time.Duration                        // between attempts
	Now      func() time.Time                     // required
	Sleep    func(context.Context, time.Duration) // returns early if the context ends; required
}

// DefaultRetry returns a Retry that reports an invalid file within a second, by the wall clock.
func DefaultRetry() Retry {
	return Retry{Timeout: 600 * time.Millisecond, Interval: 20 * time.Millisecond, Now: time.Now, Sleep: backoff.Sleep}
}

// LoadWithRetry is Load, repeated while the file is missing or invalid. It blocks until the file is valid, the timeout has
// passed or the context ends, and returns the last attempt's error or the context's. ErrNoFile is not retried.
func LoadWithRetry(ctx context.Context, env func(string) string, retry Retry) (*Config, error) {
	end := retry.Now().Add(retry.Timeout)
	for {
		config, err := Load(env)
		if err == nil || errors.Is(err, ErrNoFile) || retry.Now().After(end) {
			return config, err
		}
		if ctx.Err() != nil {
			return nil, fmt.Errorf("configuration: %w", ctx.Err())
		}
		retry.Sleep(ctx, retry.Interval)
	}
}

// Load reads and validates the file that EDGE_CONFIG names. The other environment variables override its fields.
func Load(env func(string) string) (*Config, error) {
	path := env(fileVariable)
	if path == "" {
		return nil, ErrNoFile
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	config, err := Parse(data, env)
	if err != nil {
		return nil, err
	}
	config.Path = path
	return config, nil
}

// Parse is Load on the content of a file. An invalid field is a *fieldcheck.Error.
func Parse(data []byte, env func(string) string) (*Config, error) {
	var fields file
	if err := json.Unmarshal(data, &fields); err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	override(&fields.Name, env(nameVariable))
	override(&fields.Listen, env(listenVariable))
	override(&fields.Discovery, env(discoveryVariable))
	config, err := newConfig(&fields)
	if err != nil {
		return nil, err
	}
	if err := config.validate(); err != nil {
		return nil, err
	}
	return config, nil
}

// override replaces a field by the value of an environment variable that is set.
func override(field *string, value string) {
	if value != "" {
		*field = value
	}
}
