package disk

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"testing"
)

// Power may be lost at any step, and an unsynced entry of a folder goes with it.
func TestMadeFolderOutlastsLossOfPower(t *testing.T) {
	const target = "/disk/lib/keeper/data"
	parents := []string{"/disk/lib", "/disk/lib/keeper", target}
	for lost := range 8 {
		t.Run(fmt.Sprint("power lost at step ", lost), func(t *testing.T) {
			folders, durable := map[string]bool{"/": true, "/disk": true}, map[string]bool{"/": true, "/disk": true}
			steps := 0
			errPower := errors.New("power lost")
			create := func(path string, _ fs.FileMode) error {
				switch {
				case steps == lost:
					return errPower
				case folders[path]:
					return fs.ErrExist
				case !folders[filepath.Dir(path)]:
					return fs.ErrNotExist
				}
				steps++
				folders[path] = true
				return nil
			}
			sync := func(path string) error {
				if steps == lost {
					return errPower
				}
				steps++
				for f := range folders {
					if filepath.Dir(f) == path {
						durable[f] = true
					}
				}
				return nil
			}
			err := makeFolder(target, create, sync)
			for range 2 { // the process ends and starts again before the power is lost
				whole := !slices.ContainsFunc(parents, func(f string) bool { return !durable[f] })
				if err == nil && !whole {
					t.Fatalf("made, but power takes it away: durable are %v", durable)
				}
				lost = -1
				err = makeFolder(target, create, sync)
			}
		})
	}
}

func TestMakeFolderNamesWhatIsInTheWay(t *testing.T) {
	path := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(path, nil, fileMode); err != nil {
		t.Fatal(err)
	}
	if err := MakeFolder(filepath.Join(path, "data")); err == nil {
		t.Error("a folder was made below a file")
	}
	for range 2 {
		if err := MakeFolder(filepath.Join(filepath.Dir(path), "a", "b")); err != nil {
			t.Error(err)
		}
	}
}
