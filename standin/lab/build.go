package lab

import (
	"os"
	"os/exec"

	"github.com/cockroachdb/errors"
)

// Build builds programs of the workspace into a folder, with the go command.
func Build(dir string, packages ...string) error {
	args := append([]string{"build", "-o", dir + string(os.PathSeparator)}, packages...)
	cmd := exec.Command("go", args...)
	out, err := cmd.CombinedOutput()
	return errors.Wrapf(err, "go build: %s", out)
}
