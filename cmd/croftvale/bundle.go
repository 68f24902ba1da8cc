package main

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/croftvale/croftvale/bundle"
	"github.com/croftvale/croftvale/objectapi"
	"github.com/croftvale/croftvale/operate"
	"github.com/croftvale/croftvale/tomlfile"
)

type bundleCmd struct {
	Check  bundleCheckCmd  `cmd:"" help:"Check a bundle source."`
	Sign   bundleSignCmd   `cmd:"" help:"Sign a bundle off; again by another operator to add a sign-off."`
	Roll   bundleRollCmd   `cmd:"" help:"Put a signed bundle in force everywhere."`
	Status bundleStatusCmd `cmd:"" help:"Say which generation each process has in force, and who lags."`
	Show   bundleShowCmd   `cmd:"" help:"Print the bundle in force as JSON."`
	Diff   bundleDiffCmd   `cmd:"" help:"Say what rolling a source would change."`
}

// platformFlags says where the platform is.
type platformFlags struct {
	Platform string `required:"" env:"CROFTVALE_PLATFORM" help:"IP number and port of the platform's object API."`
}

func (f platformFlags) client() (*objectapi.Client, error) {
	var a tomlfile.Address
	if err := a.UnmarshalText([]byte(f.Platform)); err != nil {
		return nil, errors.Wrapf(err, "--platform=%s", f.Platform)
	}
	return objectapi.NewClient(f.Platform), nil
}

type bundleCheckCmd struct {
	Source string `arg:"" type:"path" help:"TOML source of the bundle."`
}

// Run checks a source and prints its digest.
func (c bundleCheckCmd) Run() error {
	b, err := parseSource(c.Source)
	if err != nil {
		return err
	}
	digest, content := bundle.Pack(b)
	fmt.Printf("ok: %d teams, %d works, %d servers; %d bytes packed; digest %s\n",
		len(b.Teams), len(b.Works), len(b.Servers), len(content), digest)
	return nil
}

func parseSource(path string) (bundle.Bundle, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return bundle.Bundle{}, errors.Wrapf(err, "read bundle source %s", path)
	}
	return bundle.Parse(path, data)
}

type bundleSignCmd struct {
	Source   string `arg:"" type:"path" help:"TOML source, or a signed bundle to which a sign-off is added."`
	Operator string `required:"" help:"Name of the operator, as the processes' settings have it."`
	Key      string `required:"" type:"path" help:"File with the operator's private key."`
	Out      string `required:"" type:"path" help:"File to write the signed bundle to."`
}

// Run adds one operator's sign-off.
func (c bundleSignCmd) Run() error {
	key, err := operate.ReadKey(c.Key)
	if err != nil {
		return err
	}
	s, err := c.read()
	if err != nil {
		return err
	}
	s.Signoffs = append(s.Signoffs, bundle.SignOff(c.Operator, key, s.Digest))
	if err := os.WriteFile(c.Out, s.Encode(), 0o644); err != nil {
		return errors.Wrap(err, "write signed bundle")
	}
	fmt.Printf("%s: digest %s, %d sign-offs\n", c.Out, s.Digest, len(s.Signoffs))
	return nil
}

// read takes a signed bundle as it is and packs a source.
func (c bundleSignCmd) read() (operate.SignedBundle, error) {
	data, err := os.ReadFile(c.Source)
	if err != nil {
		return operate.SignedBundle{}, errors.Wrapf(err, "read %s", c.Source)
	}
	if s, err := operate.DecodeSignedBundle(data); err == nil {
		return s, nil
	}
	b, err := bundle.Parse(c.Source, data)
	if err != nil {
		return operate.SignedBundle{}, err
	}
	return operate.NewSignedBundle(b), nil
}

type bundleRollCmd struct {
	platformFlags
	Signed   string `arg:"" type:"path" help:"Signed bundle."`
	Operator string `required:"" help:"Name of the operator who rolls."`
	Key      string `required:"" type:"path" help:"File with the operator's private key."`
}

// Run rolls a signed bundle.
func (c bundleRollCmd) Run() error {
	client, err := c.client()
	if err != nil {
		return err
	}
	key, err := operate.ReadKey(c.Key)
	if err != nil {
		return err
	}
	data, err := os.ReadFile(c.Signed)
	if err != nil {
		return errors.Wrapf(err, "read %s", c.Signed)
	}
	s, err := operate.DecodeSignedBundle(data)
	if err != nil {
		return err
	}
	r := operate.Roller{Store: client, Operator: c.Operator, Key: key, RollID: rand.Text(), Now: time.Now()}
	order, err := r.Roll(context.Background(), s)
	if err != nil {
		return err
	}
	fmt.Printf("rolled: generation %d, digest %s\n", order.Generation, order.Digest)
	return nil
}

type bundleStatusCmd struct {
	platformFlags
	Processes []string `arg:"" optional:"" help:"Admin addresses to ask; a hub router also tells of its peers."`
}

// Run compares what is rolled with what processes have in force. It fails if
// one lags.
func (c bundleStatusCmd) Run() error {
	client, err := c.client()
	if err != nil {
		return err
	}
	o, _, err := operate.CurrentOrder(context.Background(), client)
	if err != nil {
		return err
	}
	fmt.Printf("rolled: generation %d by %s at %s, digest %s\n", o.Generation, o.Operator, o.CreatedAt, o.Digest)
	found := map[string]operate.Summary{}
	for _, a := range c.Processes {
		if err := gather(a, found); err != nil {
			return err
		}
	}
	return printStatus(o.Generation, found)
}

type bundleShowCmd struct{ platformFlags }

// Run prints the bundle in force.
func (c bundleShowCmd) Run() error {
	client, err := c.client()
	if err != nil {
		return err
	}
	_, b, err := operate.CurrentBundle(context.Background(), client)
	if err != nil {
		return err
	}
	out, err := json.MarshalIndent(b, "", "  ")
	if err != nil {
		return errors.Wrap(err, "spell bundle")
	}
	fmt.Println(string(out))
	return nil
}

type bundleDiffCmd struct {
	platformFlags
	Source string `arg:"" type:"path" help:"TOML source to compare with what is in force."`
}

// Run lists what a roll would change.
func (c bundleDiffCmd) Run() error {
	client, err := c.client()
	if err != nil {
		return err
	}
	next, err := parseSource(c.Source)
	if err != nil {
		return err
	}
	o, now, err := operate.CurrentBundle(context.Background(), client)
	if err != nil {
		return err
	}
	changes := bundle.Diff(now, next)
	fmt.Printf("against generation %d: %d changes\n", o.Generation, len(changes))
	for _, ch := range changes {
		fmt.Println(ch)
	}
	return nil
}
