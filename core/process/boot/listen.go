package boot

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"

	"verbenahaven.example/core/process/disk"
)

// Listen listens on the TCP address that the setting key holds. An error names
// the key, fits on one line and has the exit code ExitAddress. The listener doesn't speak
// Multipath TCP, whose sockets take no filters (see package drain).
func Listen(ctx context.Context, key, address string) (net.Listener, error) {
	var config net.ListenConfig
	config.SetMultipathTCP(false)
	l, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, ListenError(key, address, err)
	}
	return l, nil
}

// ListenError returns the error that Listen would return, for listeners that a
// library opens.
func ListenError(key, address string, err error) error {
	var op *net.OpError
	if errors.As(err, &op) {
		err = op.Err
	}
	return WithExitCode(ExitAddress, fmt.Errorf("%s: can't listen on %s: %w", key, address, err))
}

// EnsureFolder creates the folder that the setting key holds, if it is missing,
// and checks that files in it can be written and synced. An error names the
// key, fits on one line and has the exit code ExitFolder.
func EnsureFolder(key, path string) error {
	if err := checkWritable(path); err != nil {
		return WithExitCode(ExitFolder, fmt.Errorf("%s: can't use folder: %w", key, err))
	}
	return nil
}

func checkWritable(path string) error {
	if err := disk.MakeFolder(path); err != nil {
		return fmt.Errorf("make folder: %w", err)
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
