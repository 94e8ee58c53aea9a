package fleet

import (
	"context"
	"fmt"
	"os"
	"os/exec"
)

// BinVariable is the environment variable that names the folder of the built
// programs.
const BinVariable = "VERBENAHAVEN_BIN"

// Programs returns the folder of the programs that tests start: the one named by
// BinVariable if set, else folder, after building the programs into it.
func Programs(ctx context.Context, folder string) (string, error) {
	if bin := os.Getenv(BinVariable); bin != "" {
		return bin, nil
	}
	cmd := exec.CommandContext(ctx, "go", "build", "-o", folder+"/",
		"verbenahaven.example/entryd", "verbenahaven.example/keepd",
		"verbenahaven.example/haven", "verbenahaven.example/stand")
	if out, err := cmd.CombinedOutput(); err != nil {
		return "", fmt.Errorf("build programs: %w: %s", err, out)
	}
	return folder, nil
}
