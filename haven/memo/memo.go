// Package memo remembers the numbers of commands whose answers are still
// outstanding, so that a command that is sent again after a lost answer
// carries its first number.
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

// Life is how long an unanswered command is remembered.
const Life = time.Hour

const (
	folderMode = 0o700
	fileMode   = 0o600
)

// Memo is a folder of unanswered commands of one operator.
type Memo struct {
	folder string
	now    func() time.Time
}

// New returns the memo of an operator below folder.
func New(folder, operator string, now func() time.Time) (*Memo, error) {
	path := filepath.Join(folder, strconv.FormatUint(xxhash.Sum64String(operator), 16))
	if err := os.MkdirAll(path, folderMode); err != nil {
		return nil, fmt.Errorf("make folder for command numbers: %w", err)
	}
	return &Memo{folder: path, now: now}, nil
}

// entry is the remembered number of one command.
type entry struct {
	Number uint64    `json:"number"`
	At     time.Time `json:"at"`
}

// Pending is a command that waits for its answer.
type Pending struct {
	path   string
	number uint64
	age    time.Duration
	again  bool
}

// Number is the command's number.
func (p Pending) Number() uint64 { return p.number }

// Again tells that the command was sent before and has no answer yet.
func (p Pending) Again() bool { return p.again }

// Age is the time since the command was first sent.
func (p Pending) Age() time.Duration { return p.age }

// Done forgets the command: its answer is known.
func (p Pending) Done() error {
	if err := os.Remove(p.path); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("forget command number: %w", err)
	}
	return nil
}

// Begin remembers a command before it is sent. The same command gets its first
// number again while that one has no answer, unless fresh is set.
func (m *Memo) Begin(text string, expect uint64, fresh bool) (Pending, error) {
	digest := xxhash.Sum64String(fmt.Sprintf("%d %s", expect, text))
	p := Pending{path: filepath.Join(m.folder, strconv.FormatUint(digest, 16)+".json")}
	if fresh {
		if err := p.Done(); err != nil {
			return p, err
		}
	}
	now := m.now()
	if e, err := read(p.path); err == nil && now.Sub(e.At) < Life {
		p.number, p.age, p.again = e.Number, now.Sub(e.At), true
		return p, nil
	}
	p.number = uint64(now.UnixMicro())
	return p, write(p.path, entry{Number: p.number, At: now})
}

func read(path string) (entry, error) {
	var e entry
	b, err := os.ReadFile(path)
	if err != nil {
		return e, fmt.Errorf("read command number: %w", err)
	}
	if err := json.Unmarshal(b, &e); err != nil {
		return e, fmt.Errorf("decode command number: %w", err)
	}
	return e, nil
}

// write replaces the file as a whole: a reader never sees half of it.
func write(path string, e entry) error {
	b, err := json.Marshal(e)
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
