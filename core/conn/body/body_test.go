package body_test

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"verbenahaven.example/core/conn/body"
)

func ExampleRead() {
	b, err := body.Read(strings.NewReader("four"), 4)
	fmt.Printf("%s %v\n", b, err)
	// Output: four <nil>
}

func TestReadRefusesLargerBodies(t *testing.T) {
	if b, err := body.Read(strings.NewReader("fives"), 4); !errors.Is(err, body.ErrTooLarge) || b != nil {
		t.Fatalf("read %q with error %v", b, err)
	}
}

// Servers in trouble send bodies without end, many at once.
func TestBudgetBoundsBodiesWithoutEnd(t *testing.T) {
	const size, limit = 8 << 20, 2 << 20
	b := body.NewBudget(size)
	whole := strings.Repeat("x", limit)
	var releases []func()
	for {
		content, release, err := b.Read(strings.NewReader(whole), limit)
		if errors.Is(err, body.ErrNoRoom) {
			break
		}
		if err != nil || string(content) != whole {
			t.Fatalf("read %d bytes with error %v", len(content), err)
		}
		releases = append(releases, release)
	}
	if n := len(releases); n < size/limit/2 || n > size/limit {
		t.Errorf("%d bodies of %d bytes in a budget of %d", n, limit, size)
	}
	if content, release, err := b.Read(strings.NewReader("small"), limit); err != nil || string(content) != "small" {
		t.Errorf("a small body: %q, %v", content, err)
	} else {
		release()
	}
	for _, release := range releases {
		release()
	}
	for range 2 * size / limit {
		if _, _, err := b.Read(endless{}, limit); !errors.Is(err, body.ErrTooLarge) {
			t.Fatalf("error %v after a body without end", err)
		}
		if _, _, err := b.Read(io.MultiReader(strings.NewReader(whole), iotest.ErrReader(io.ErrUnexpectedEOF)), limit); !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Fatalf("error %v after a body that is cut short", err)
		}
	}
}

type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }
