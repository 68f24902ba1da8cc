package main

import (
	"os"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"
)

// variant is one form of the router that is measured.
type variant struct {
	Name    string
	Dir     string   // a checkout
	Without []string // mechanisms that are switched off; see direct.Mechanism
}

// parseVariant reads NAME=DIR or NAME=DIR:MECHANISM,MECHANISM.
func parseVariant(text string) (variant, error) {
	name, rest, ok := strings.Cut(text, "=")
	if !ok || name == "" || rest == "" {
		return variant{}, errors.Newf("variant %q: write NAME=DIR or NAME=DIR:MECHANISM,MECHANISM", text)
	}
	dir, without, _ := strings.Cut(rest, ":")
	v := variant{Name: name, Dir: dir}
	if without != "" {
		v.Without = strings.Split(without, ",")
	}
	return v, nil
}

// deployFile is where a checkout says how the bench starts its processes.
const deployFile = "deploy/system.toml"

// prepare copies the checkout below dir and switches the mechanisms off in its
// deploy file. The bench plays the copy, so the checkout may change meanwhile.
func (v variant) prepare(dir string) (variant, error) {
	to := filepath.Join(dir, v.Name)
	if err := os.CopyFS(to, os.DirFS(v.Dir)); err != nil {
		return v, errors.Wrapf(err, "copy %s; give --work an empty directory", v.Dir)
	}
	v.Dir = to
	if len(v.Without) == 0 {
		return v, nil
	}
	path := filepath.Join(to, deployFile)
	body, err := os.ReadFile(path)
	if err != nil {
		return v, err
	}
	line := "env = { CROFTVALE_WITHOUT = \"" + strings.Join(v.Without, ",") + "\" }\n"
	return v, os.WriteFile(path, append(body, line...), 0o644)
}
