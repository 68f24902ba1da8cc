package main

import (
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/croftvale/croftvale/explain"
)

type explainCmd struct {
	Request string   `arg:"" help:"The request's id."`
	Logs    []string `arg:"" optional:"" type:"path" help:"Logs of routers, in any order; standard input where none is given."`
}

// Run prints a request's story.
func (c explainCmd) Run() error {
	logs := []io.Reader{os.Stdin}
	if len(c.Logs) > 0 {
		logs = nil
	}
	for _, path := range c.Logs {
		file, err := os.Open(path)
		if err != nil {
			return errors.Wrap(err, "give logs that can be read")
		}
		defer file.Close()
		logs = append(logs, file)
	}
	story, err := explain.Read(c.Request, logs...)
	if err != nil {
		return err
	}
	return story.Write(os.Stdout)
}
