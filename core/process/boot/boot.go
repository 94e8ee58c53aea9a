// Package boot reads and checks settings files and maps start-up failures to
// exit codes.
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
	ExitUsage    = 2 // bad arguments
	ExitSettings = 3 // settings missing, unknown key or bad value
	ExitAddress  = 4 // an address can't be listened on
	ExitFolder   = 5 // the data folder can't be used
	ExitRefused  = 6 // the system refused the command
	ExitUnknown  = 7 // the outcome of the command is unknown
)

// codeKey is the key under which an error carries its exit code.
type codeKey struct{}

// Fail gives err an exit code, which Code finds however often it is wrapped.
func Fail(code int, err error) error {
	return merry.Wrap(err, merry.NoCaptureStack(), merry.WithValue(codeKey{}, code))
}

// Code returns the exit code for err.
func Code(err error) int {
	if err == nil {
		return ExitOK
	}
	if code, ok := merry.Value(err, codeKey{}).(int); ok {
		return code
	}
	return ExitFailure
}

// Checker is implemented by settings that check their values. The key is the
// dotted path of the value at fault; the error names the allowed range.
type Checker interface {
	Check() (key string, err error)
}

// Duration is a time.Duration that TOML writes as "250ms".
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

// Load reads the TOML file at path over the defaults in settings. Unknown keys
// and bad values are refused with file and line.
func Load(path string, settings Checker) error {
	b, err := os.ReadFile(path)
	if err != nil {
		return Fail(ExitSettings, fmt.Errorf("read settings: %w", err))
	}
	return Parse(path, b, settings)
}

// Parse reads settings from b; name stands for the file in errors.
func Parse(name string, b []byte, settings Checker) error {
	if key, row := bareDuration(b, settings); key != "" {
		return Fail(ExitSettings, fmt.Errorf("%s:%d: %s: %w", name, row, key, errUnit))
	}
	decoder := toml.NewDecoder(bytes.NewReader(b))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(settings); err != nil {
		return Fail(ExitSettings, place(name, err))
	}
	if key, err := settings.Check(); err != nil {
		return Fail(ExitSettings, fmt.Errorf("%s:%d: %s: %w", name, line(b, key), key, err))
	}
	return nil
}

func place(name string, err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) && len(strict.Errors) > 0 {
		row, _ := strict.Errors[0].Position()
		return fmt.Errorf("%s:%d: unknown key %q", name, row, dotted(strict.Errors[0].Key()))
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		row, _ := decode.Position()
		return fmt.Errorf("%s:%d: %w", name, row, &wrongValue{decode})
	}
	return fmt.Errorf("%s: %w", name, err)
}
