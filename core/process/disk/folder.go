package disk

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
)

// MakeFolder creates a folder and the missing ones above it, so that they are still there
// after a loss of power: a folder whose entry is lost is taken for one that never was.
func MakeFolder(folder string) error {
	return makeFolder(folder, os.Mkdir, osFileSystem{}.SyncFolder)
}

func makeFolder(folder string, create func(string, fs.FileMode) error, sync func(string) error) error {
	folder = filepath.Clean(folder)
	above := filepath.Dir(folder)
	err := create(folder, folderMode)
	if errors.Is(err, fs.ErrNotExist) && above != folder {
		if err := makeFolder(above, create, sync); err != nil {
			return err
		}
		err = create(folder, folderMode)
	}
	switch {
	case err == nil:
		syncExisting(filepath.Dir(above), sync)
		if err := sync(above); err != nil {
			return fmt.Errorf("create folder %s: %w", folder, err)
		}
		return nil
	case errors.Is(err, fs.ErrExist):
		syncExisting(above, sync)
		return nil
	}
	return fmt.Errorf("create folder: %w", err)
}

// syncExisting syncs a folder in which an earlier process may have created the next one
// and ended before it synced. It may belong to others, who don't let it be opened.
func syncExisting(folder string, sync func(string) error) { _ = sync(folder) }
