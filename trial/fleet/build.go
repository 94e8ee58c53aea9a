package fleet

import (
	"context"
	"fmt"
	"os"
	"os/exec"
)

// BinEnv is the environment variable that names the folder of the built
// programs.
const BinEnv = "VERBENAHAVEN_BIN"

// BuildPrograms returns the folder of the programs that tests start: the one
// named by BinEnv if set, else folder, after building the programs into it.
func BuildPrograms(ctx context.Context, folder string) (string, error) {
	if bin := os.Getenv(BinEnv); bin != "" {
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
