package main

import (
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/croftvale/croftvale/operate"
)

type keysCmd struct {
	New  keysNewCmd  `cmd:"" help:"Make an operator's key pair."`
	Team keysTeamCmd `cmd:"" help:"Make a team's bearer key and its hash for the bundle."`
}

type keysNewCmd struct {
	Out string `required:"" type:"path" help:"File to write the private key to; it must not exist."`
}

// Run makes a key pair; the private half goes only to the file.
func (c keysNewCmd) Run() error {
	private, public, err := operate.NewKey()
	if err != nil {
		return err
	}
	f, err := os.OpenFile(c.Out, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return errors.Wrapf(err, "write key; name a file that does not exist yet")
	}
	if _, err := fmt.Fprintln(f, private); err != nil {
		return errors.Wrap(err, "write key")
	}
	if err := f.Close(); err != nil {
		return errors.Wrap(err, "write key")
	}
	fmt.Printf("private: %s\npublic: %s\n", c.Out, public)
	return nil
}

type keysTeamCmd struct{}

// Run prints a new bearer key, once, and its hash.
func (keysTeamCmd) Run() error {
	key, hash := operate.NewTeamKey()
	fmt.Printf("key (for the team): %s\nhash (for the bundle): %s\n", key, hash)
	return nil
}
