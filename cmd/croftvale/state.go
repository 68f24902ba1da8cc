package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/croftvale/croftvale/operate"
	toml "github.com/pelletier/go-toml/v2"
)

type stateCmd struct {
	Address string `arg:"" help:"Admin address of the process."`
	JSON    bool   `help:"Print the dump as JSON."`
}

// Run prints a process's dump, as JSON or in a form for reading.
func (c stateCmd) Run() error {
	dump, err := operate.State(context.Background(), c.Address)
	if err != nil {
		return err
	}
	if c.JSON {
		_, err := os.Stdout.Write(dump)
		return errors.Wrap(err, "print state")
	}
	var tree map[string]any
	if err := json.Unmarshal(dump, &tree); err != nil {
		return errors.Wrap(err, "read state")
	}
	out, err := toml.Marshal(tree)
	if err != nil {
		return errors.Wrap(err, "print state")
	}
	fmt.Print(string(out))
	return nil
}
