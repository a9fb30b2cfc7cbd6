package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"larchscale/internal/fleet/configuration"
	"larchscale/internal/fleet/controlnode"
	"larchscale/internal/fleet/driver"
	"larchscale/internal/link"
)

// documentCmd are the commands of configuration documents.
type documentCmd struct {
	Put    putDocumentCmd    `cmd:"" help:"Give a document its value, at all servers."`
	Get    getDocumentCmd    `cmd:"" help:"Write a document's value."`
	List   listDocumentCmd   `cmd:"" help:"All documents, by key."`
	Delete deleteDocumentCmd `cmd:"" help:"Delete a document, at all servers."`
}

// command sends a command on a document and prints what became of it.
func (a *atFleet) command(con *console, command controlnode.Command, done string) error {
	data, err := json.Marshal(command)
	if err != nil {
		return err
	}
	return a.say(con, driver.Command{Part: controlnode.ConfigurationPart, Data: data}, done)
}

type putDocumentCmd struct {
	atFleet `embed:""`
	Key     string `arg:"" help:"Its key."`
	File    string `arg:"" help:"The file with its value, 64 KB at most; - = what is read."`
	By      string `help:"Who says so." required:""`
	Expect  uint64 `help:"The revision that the document has to have; 0 = any, or none."`
}

func (c *putDocumentCmd) Run(con *console) error {
	value, err := readValue(c.File)
	if err != nil {
		return badInput{err}
	}
	return c.command(con, controlnode.Command{Key: c.Key, Value: value, By: c.By, Expect: c.Expect}, fmt.Sprintf("document %s has %d bytes", c.Key, len(value)))
}

// readValue reads a file, or the standard input, up to the bound of a value.
func readValue(file string) ([]byte, error) {
	in := os.Stdin
	if file != "-" {
		var err error
		if in, err = os.Open(file); err != nil {
			return nil, err
		}
		defer in.Close()
	}
	value, err := io.ReadAll(io.LimitReader(in, configuration.MaxValue+1))
	if err == nil && len(value) > configuration.MaxValue {
		err = fmt.Errorf("%s has more than %d bytes", file, configuration.MaxValue)
	}
	return value, err
}

type getDocumentCmd struct {
	atFleet `embed:""`
	Key     string `arg:"" help:"Its key."`
}

func (c *getDocumentCmd) Run(con *console) error {
	var document controlnode.DocumentStatus
	found := false
	err := c.ask(func(ctx context.Context, l *link.Client) (err error) {
		found, err = driver.FetchItem(ctx, l, controlnode.ConfigurationPart, c.Key, &document)
		return err
	})
	if err == nil && !found {
		err = fmt.Errorf("there is no document %s", c.Key)
	}
	if err != nil {
		return err
	}
	return con.print(document, func(w io.Writer) { w.Write(document.Value) })
}

type listDocumentCmd struct {
	atFleet `embed:""`
}

func (c *listDocumentCmd) Run(con *console) error {
	var documents []controlnode.DocumentStatus
	if err := c.ask(func(ctx context.Context, l *link.Client) error {
		return driver.FetchModuleStatus(ctx, l, controlnode.ConfigurationPart, &documents)
	}); err != nil {
		return err
	}
	return con.print(documents, func(w io.Writer) {
		rows := [][]string{{"key", "bytes", "revision", "by", "at"}}
		for _, d := range documents {
			rows = append(rows, []string{d.Key, fmt.Sprint(d.Bytes), fmt.Sprint(d.Revision), d.By, when(d.At)})
		}
		table(w, rows)
	})
}

type deleteDocumentCmd struct {
	atFleet `embed:""`
	Key     string `arg:"" help:"Its key."`
	By      string `help:"Who says so." required:""`
	Expect  uint64 `help:"The revision that the document has to have; 0 = any."`
}

func (c *deleteDocumentCmd) Run(con *console) error {
	return c.command(con, controlnode.Command{Delete: true, Key: c.Key, By: c.By, Expect: c.Expect}, "document "+c.Key+" is deleted")
}
