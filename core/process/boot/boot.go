// Package boot loads and validates settings files, checks the addresses and
// folders that they name, and maps startup failures to exit codes.
package boot

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/pelletier/go-toml/v2"
)

// Exit codes of all programs.
const (
	ExitOK       = 0 // done, or stopped gracefully
	ExitFailure  = 1 // any other failure
	ExitUsage    = 2 // invalid arguments
	ExitSettings = 3 // settings file missing, unknown key or invalid value
	ExitAddress  = 4 // an address can't be listened on
	ExitFolder   = 5 // the data folder can't be used
	ExitRefused  = 6 // the system refused the command
	ExitUnknown  = 7 // the outcome of the command is unknown
)

// exitCodeKey is the key under which an error carries its exit code.
type exitCodeKey struct{}

// WithExitCode attaches an exit code to err. ExitCode finds it however often the
// error is wrapped.
func WithExitCode(code int, err error) error {
	return merry.Wrap(err, merry.NoCaptureStack(), merry.WithValue(exitCodeKey{}, code))
}

// ExitCode returns the exit code of err: ExitFailure if none is attached.
func ExitCode(err error) int {
	if err == nil {
		return ExitOK
	}
	if code, ok := merry.Value(err, exitCodeKey{}).(int); ok {
		return code
	}
	return ExitFailure
}

// Checker is implemented by settings that validate their values. Check returns
// the dotted key of the first invalid value and an error that names the allowed
// range.
type Checker interface {
	Check() (key string, err error)
}

// Duration is a time.Duration that is written as a string such as "250ms" in
// TOML.
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("not a duration such as \"250ms\": %w", err)
	}
	*d = Duration(v)
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// Load decodes the TOML file at path into settings, which hold the defaults.
// Errors about unknown keys and invalid values name the file and the line.
func Load(path string, settings Checker) error {
	b, err := os.ReadFile(path)
	if err != nil {
		return WithExitCode(ExitSettings, fmt.Errorf("read settings: %w", err))
	}
	return Parse(path, b, settings)
}

// Parse decodes settings from b like Load. Errors give name as the file.
func Parse(name string, b []byte, settings Checker) error {
	if key, row := findBareDuration(b, settings); key != "" {
		return WithExitCode(ExitSettings, fmt.Errorf("%s:%d: %s: %w", name, row, key, errMissingUnit))
	}
	decoder := toml.NewDecoder(bytes.NewReader(b))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(settings); err != nil {
		return WithExitCode(ExitSettings, withPosition(name, err))
	}
	if key, err := settings.Check(); err != nil {
		return WithExitCode(ExitSettings, fmt.Errorf("%s:%d: %s: %w", name, keyLine(b, key), key, err))
	}
	return nil
}

func withPosition(name string, err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) && len(strict.Errors) > 0 {
		row, _ := strict.Errors[0].Position()
		return fmt.Errorf("%s:%d: unknown key %q", name, row, joinKey(strict.Errors[0].Key()))
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		row, _ := decode.Position()
		return fmt.Errorf("%s:%d: %w", name, row, &valueError{decode})
	}
	return fmt.Errorf("%s: %w", name, err)
}
