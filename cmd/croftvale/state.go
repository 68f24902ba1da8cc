package main

import (
	"context"
	"encoding/json"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/croftvale/croftvale/gateway"
	"github.com/croftvale/croftvale/operate"
	toml "github.com/pelletier/go-toml/v2"
)

type stateCmd struct {
	Address string `arg:"" help:"Admin address of the process."`
	JSON    bool   `help:"Print the dump as JSON."`
}

// Run prints a process's dump, as JSON or in a form for reading.
func (c stateCmd) Run() error {
	dump, err := operate.FetchState(context.Background(), c.Address)
	if err != nil {
		return err
	}
	if c.JSON {
		_, err := os.Stdout.Write(dump)
		return errors.Wrap(err, "print state")
	}
	return writeState(os.Stdout, dump)
}

// writeState prints a dump for reading. Processes of fleets with agents name their role;
// a router on the users' platform has none.
func writeState(to io.Writer, dump []byte) error {
	var process struct{ Role string }
	if err := json.Unmarshal(dump, &process); err != nil {
		return errors.Wrap(err, "read state; --json prints it as it is")
	}
	if process.Role != "" {
		return writeTree(to, dump)
	}
	var s gateway.State
	if err := json.Unmarshal(dump, &s); err != nil {
		return errors.Wrap(err, "read state; --json prints it as it is")
	}
	return writeGateway(to, s)
}

func writeTree(to io.Writer, dump []byte) error {
	var tree map[string]any
	if err := json.Unmarshal(dump, &tree); err != nil {
		return errors.Wrap(err, "read state")
	}
	out, err := toml.Marshal(tree)
	if err != nil {
		return errors.Wrap(err, "print state")
	}
	_, err = to.Write(out)
	return errors.Wrap(err, "print state")
}
