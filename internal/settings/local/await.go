package local

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"
)

const (
	// replaceTime is how long a settings file may be missing, or written in part, while it is replaced.
	replaceTime = 2 * time.Second
	// settleTime is how long a file without a newline at its end must stay the same to be taken as complete.
	settleTime   = 200 * time.Millisecond
	readInterval = 20 * time.Millisecond
)

// requiredFields are the fields without which a program of the fleet can't run, by program; those of "" are
// required by all.
var requiredFields = map[string][]string{
	"":           {"seeds"},
	"proxy":      {"listen_addresses.front", "listen_addresses.ready"},
	"controller": {"listen_addresses.control", "data_directory"},
}

// Await reads the settings of a program (proxy, agent or controller) from the file that the environment variable PathVariable
// names. The file may be being replaced: Await reads it again while it is missing, has a fault or lacks a
// required field, for two seconds, and then returns the last error.
func Await(ctx context.Context, program string) (*Settings, error) {
	path := os.Getenv(PathVariable)
	if path == "" {
		return nil, fmt.Errorf("settings: environment variable %s is not set", PathVariable)
	}
	deadline := time.Now().Add(replaceTime)
	var last string
	var changedAt time.Time
	for {
		settings, text, err := readFor(program, path)
		if text != last {
			last, changedAt = text, time.Now()
		}
		if err == nil && (strings.HasSuffix(text, "\n") || time.Since(changedAt) >= settleTime) {
			return settings, nil
		}
		if time.Now().After(deadline) {
			return settings, err
		}
		select {
		case <-time.After(readInterval):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// readFor reads the settings file of a program and checks that it has the program's required fields.
func readFor(program, path string) (settings *Settings, text string, err error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, "", fmt.Errorf("settings: %w", err)
	}
	text = string(raw)
	if settings, err = Parse(text); err != nil {
		return nil, text, err
	}
	fields := parseFields(text)
	for _, field := range append(requiredFields[""], requiredFields[program]...) {
		if fields[field] == "" {
			return nil, text, &FieldError{field, "", "a value"}
		}
	}
	return settings, text, nil
}
