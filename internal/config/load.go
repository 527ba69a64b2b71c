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

// Names of environment variables.
const (
	pathVariable      = "EDGE_CONFIG"    // variable with the path of the configuration file
	nameVariable      = "EDGE_NAME"      // variable that overrides the field "name" of the configuration file
	listenVariable    = "EDGE_LISTEN"    // variable that overrides the field "listen" of the configuration file
	discoveryVariable = "EDGE_DISCOVERY" // variable that overrides the field "discovery" of the configuration file
)

// ErrPathNotSet is returned by Load and LoadWithRetry if the environment variable with the path of the configuration
// file is not set.
var ErrPathNotSet = errors.New(pathVariable + " is not set")

// RetryPolicy determines how LoadWithRetry repeats its attempts to load the file. Attempts are repeated because another
// process may still be writing the file while the assigner starts.
type RetryPolicy struct {
	// Timeout is the time after the first attempt during which attempts are repeated. The first attempt that fails
	// after the timeout is the last one.
	Timeout time.Duration
	// Interval is the time between two attempts to load the file.
	Interval time.Duration
	// Now returns the current time. It is required.
	Now func() time.Time
	// Sleep blocks for a duration, or until the context ends if that is earlier. It is required.
	Sleep func(context.Context, time.Duration)
}

// DefaultRetryPolicy returns a RetryPolicy that uses the wall clock and reports an invalid file within one second.
func DefaultRetryPolicy() RetryPolicy {
	return RetryPolicy{Timeout: 600 * time.Millisecond, Interval: 20 * time.Millisecond, Now: time.Now, Sleep: backoff.Sleep}
}

// LoadWithRetry calls Load repeatedly while the file is missing or invalid. It blocks until the file is valid, the
// timeout of the policy has passed or the context ends. After the timeout it returns the error of the last attempt.
// After the end of the context it returns the error of the context. It does not call Load again after ErrPathNotSet.
func LoadWithRetry(ctx context.Context, env func(string) string, policy RetryPolicy) (*Config, error) {
	deadline := policy.Now().Add(policy.Timeout)
	for {
		config, err := Load(env)
		if err == nil || errors.Is(err, ErrPathNotSet) || policy.Now().After(deadline) {
			return config, err
		}
		if ctx.Err() != nil {
			return nil, fmt.Errorf("configuration: %w", ctx.Err())
		}
		policy.Sleep(ctx, policy.Interval)
	}
}

// Load reads and validates the configuration file whose path is in the environment variable EDGE_CONFIG. The
// environment variables EDGE_NAME, EDGE_LISTEN and EDGE_DISCOVERY override fields of the file. The parameter env
// looks up an environment variable and returns "" for a variable that is not set.
func Load(env func(string) string) (*Config, error) {
	path := env(pathVariable)
	if path == "" {
		return nil, ErrPathNotSet
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	config, err := Parse(data, env)
	if err != nil {
		return nil, err
	}
	config.FilePath = path
	return config, nil
}

// Parse validates the content of a configuration file and applies the environment variables, as Load does. The error
// for an invalid field wraps a *fieldcheck.Error.
func Parse(data []byte, env func(string) string) (*Config, error) {
	var fields configFile
	if err := json.Unmarshal(data, &fields); err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	overrideIfSet(&fields.Name, env(nameVariable))
	overrideIfSet(&fields.ListenAddress, env(listenVariable))
	overrideIfSet(&fields.DiscoveryAddress, env(discoveryVariable))
	config, err := configFromFile(&fields)
	if err != nil {
		return nil, err
	}
	if err := config.validate(); err != nil {
		return nil, err
	}
	return config, nil
}

// overrideIfSet replaces a field of the configuration by the value of an environment variable, unless the value is
// empty.
func overrideIfSet(field *string, value string) {
	if value != "" {
		*field = value
	}
}
