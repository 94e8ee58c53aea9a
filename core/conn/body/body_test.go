package body_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"

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
