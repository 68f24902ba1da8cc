// Command croftvale is the operators' client: it checks, signs and rolls
// bundles, says what is in force where, and dumps any process's state.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
)

// version is set at build time by -ldflags "-X main.version=...".
var version = "dev"

// Exit codes, as the operators' page lists them.
const (
	exitFailed = 1
	exitUsage  = 2
)

type cli struct {
	Bundle  bundleCmd        `cmd:"" help:"Check, sign, roll and compare bundles."`
	Keys    keysCmd          `cmd:"" help:"Make keys of operators and teams."`
	Explain explainCmd       `cmd:"" help:"Tell a request's story from the logs of many routers."`
	State   stateCmd         `cmd:"" help:"Dump the state of a process."`
	Version kong.VersionFlag `help:"Print the version and exit."`
}

func main() {
	var c cli
	parser := kong.Must(&c,
		kong.Name("croftvale"),
		kong.Description("Drives a croftvale fleet through its bundle, and shows its state."),
		kong.Vars{"version": version},
		kong.UsageOnError(),
	)
	ctx, err := parser.Parse(os.Args[1:])
	if err != nil {
		parser.Errorf("%s", err)
		os.Exit(exitUsage)
	}
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "croftvale:", err)
		os.Exit(exitFailed)
	}
}
