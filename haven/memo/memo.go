// Package memo stores the numbers of commands that have no reply yet. A command
// that is run again after a lost reply reuses its first number, which serves as
// the idempotency key.
package memo

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Lifetime is the time after which the number of an unanswered command expires.
const Lifetime = time.Hour

const (
	folderMode = 0o700
	fileMode   = 0o600
)

// Store is the folder with the unanswered commands of one operator.
type Store struct {
	folder string
	now    func() time.Time
}

// New returns the store of an operator, in a subfolder of folder that is named
// by the hash of the operator's name.
func New(folder, operator string, now func() time.Time) (*Store, error) {
	path := filepath.Join(folder, strconv.FormatUint(xxhash.Sum64String(operator), 16))
	if err := os.MkdirAll(path, folderMode); err != nil {
		return nil, fmt.Errorf("make folder for command numbers: %w", err)
	}
	return &Store{folder: path, now: now}, nil
}

// storedCommand is the stored form of an unanswered command.
type storedCommand struct {
	Number uint64    `json:"number"`
	At     time.Time `json:"at"`
}

// Pending is a command that has no reply yet.
type Pending struct {
	path   string
	number uint64
	age    time.Duration
	resent bool
}

// Number returns the command's number.
func (p Pending) Number() uint64 { return p.number }

// Resent reports whether the command was sent before and has no reply yet.
func (p Pending) Resent() bool { return p.resent }

// Age returns the time since the command was first sent.
func (p Pending) Age() time.Duration { return p.age }

// Forget removes the stored number, once the reply is known.
func (p Pending) Forget() error {
	if err := os.Remove(p.path); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("forget command number: %w", err)
	}
	return nil
}

// Begin stores a command before it is sent. A command with the same text and
// expected version reuses the number of an earlier one that has no reply and
// hasn't expired, unless fresh is set.
func (m *Store) Begin(text string, expect uint64, fresh bool) (Pending, error) {
	digest := xxhash.Sum64String(fmt.Sprintf("%d %s", expect, text))
	pending := Pending{path: filepath.Join(m.folder, strconv.FormatUint(digest, 16)+".json")}
	if fresh {
		if err := pending.Forget(); err != nil {
			return pending, err
		}
	}
	now := m.now()
	if stored, err := readCommand(pending.path); err == nil && now.Sub(stored.At) < Lifetime {
		pending.number, pending.age, pending.resent = stored.Number, now.Sub(stored.At), true
		return pending, nil
	}
	pending.number = uint64(now.UnixMicro())
	return pending, writeCommand(pending.path, storedCommand{Number: pending.number, At: now})
}

func readCommand(path string) (storedCommand, error) {
	var command storedCommand
	b, err := os.ReadFile(path)
	if err != nil {
		return command, fmt.Errorf("read command number: %w", err)
	}
	if err := json.Unmarshal(b, &command); err != nil {
		return command, fmt.Errorf("decode command number: %w", err)
	}
	return command, nil
}

// writeCommand replaces the file atomically, so that a reader never sees a
// partial write.
func writeCommand(path string, command storedCommand) error {
	b, err := json.Marshal(command)
	if err != nil {
		return fmt.Errorf("encode command number: %w", err)
	}
	f, err := os.CreateTemp(filepath.Dir(path), "new-")
	if err != nil {
		return fmt.Errorf("remember command number: %w", err)
	}
	_, err = f.Write(b)
	err = errors.Join(err, f.Chmod(fileMode), f.Sync(), f.Close())
	if err == nil {
		err = os.Rename(f.Name(), path)
	}
	if err != nil {
		return fmt.Errorf("remember command number: %w", errors.Join(err, os.Remove(f.Name())))
	}
	return nil
}
