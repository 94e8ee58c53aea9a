package boot

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
)

const folderMode = 0o700

// Listen opens the TCP address that a setting names. A failure is one line
// with the key, and leads to ExitAddress.
func Listen(ctx context.Context, key, address string) (net.Listener, error) {
	l, err := new(net.ListenConfig).Listen(ctx, "tcp", address)
	if err != nil {
		return nil, Unlistened(key, address, err)
	}
	return l, nil
}

// Unlistened is the failure to listen on the address that a setting names, for
// listeners that a library opens.
func Unlistened(key, address string, err error) error {
	var op *net.OpError
	if errors.As(err, &op) {
		err = op.Err
	}
	return Fail(ExitAddress, fmt.Errorf("%s: can't listen on %s: %w", key, address, err))
}

// Folder makes sure that the folder that a setting names exists and that files
// in it can be written and synced. A failure is one line with the key, and
// leads to ExitFolder.
func Folder(key, path string) error {
	if err := usable(path); err != nil {
		return Fail(ExitFolder, fmt.Errorf("%s: can't use folder: %w", key, err))
	}
	return nil
}

func usable(path string) error {
	if err := os.MkdirAll(path, folderMode); err != nil {
		return fmt.Errorf("make: %w", err)
	}
	f, err := os.CreateTemp(path, ".probe-")
	if err != nil {
		return fmt.Errorf("write in %s: %w", path, err)
	}
	_, err = f.WriteString("probe")
	err = errors.Join(err, f.Sync(), f.Close(), os.Remove(f.Name()))
	if err != nil {
		return fmt.Errorf("write and sync in %s: %w", filepath.Clean(path), err)
	}
	return nil
}
