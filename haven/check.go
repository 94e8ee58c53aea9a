package main

import (
	"context"
	"flag"
	"fmt"
	"path/filepath"
	"sort"
	"strings"

	"github.com/google/subcommands"

	"verbenahaven.example/core/process/boot"
	"verbenahaven.example/core/process/keys"
	"verbenahaven.example/entryd/setup"
	"verbenahaven.example/keepd/conf"
	"verbenahaven.example/stand/config"
)

func init() {
	register(&checkCmd{})
}

// settingsSchema describes the settings file of one program: newSettings returns
// the defaults, keyFiles the key files that the settings name. keyFiles is nil
// if they name none.
type settingsSchema struct {
	newSettings func() boot.Checker
	keyFiles    func(boot.Checker) keys.Files
}

// newSchema returns the schema of a program whose settings have type S.
func newSchema[S boot.Checker](defaults func() S, files func(S) keys.Files) settingsSchema {
	schema := settingsSchema{newSettings: func() boot.Checker { return defaults() }}
	if files != nil {
		schema.keyFiles = func(c boot.Checker) keys.Files { return files(c.(S)) }
	}
	return schema
}

var schemas = map[string]settingsSchema{
	"entryd": newSchema(setup.Defaults, func(s *setup.Settings) keys.Files { return s.Keys }),
	"keepd":  newSchema(conf.Default, func(s *conf.Settings) keys.Files { return s.Keys }),
	"stand":  newSchema(func() *config.Settings { return new(config.Settings) }, nil),
}

// checkCmd validates settings files.
type checkCmd struct {
	program  string
	loadKeys bool
}

func (*checkCmd) Name() string     { return "check" }
func (*checkCmd) Synopsis() string { return "check settings files without starting anything" }
func (*checkCmd) Usage() string {
	return `haven check [-program NAME] [-files] FILE...

Reads settings as the program does and reports the first fault of each file with
its line, key and allowed range. Without -program the name of the file must
start with that of its program. With -files the key files are loaded, too, from
the working folder of the program.

Examples:
  haven check entryd.toml keepd.toml
  haven check -program keepd -files /etc/verbenahaven/keep1.toml

Flags:
`
}

// SetFlags implements subcommands.Command.
func (c *checkCmd) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.program, "program", "", "one of "+strings.Join(programNames(), ", "))
	f.BoolVar(&c.loadKeys, "files", false, "load the key files, too")
}

// Execute implements subcommands.Command.
func (c *checkCmd) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() == 0 {
		return reportResult(usageError("a settings file is needed"))
	}
	status := subcommands.ExitSuccess
	for _, path := range f.Args() {
		if err := c.check(path); err != nil {
			status = reportResult(err)
			continue
		}
		fmt.Printf("%s: ok\n", path)
	}
	return status
}

func (c *checkCmd) check(path string) error {
	schema, err := c.schemaFor(path)
	if err != nil {
		return err
	}
	settings := schema.newSettings()
	if err := boot.Load(path, settings); err != nil {
		return fmt.Errorf("check: %w", err)
	}
	if !c.loadKeys || schema.keyFiles == nil {
		return nil
	}
	if _, err := keys.Load(schema.keyFiles(settings)); err != nil {
		return boot.WithExitCode(boot.ExitSettings, fmt.Errorf("%s: keys: %w", path, err))
	}
	return nil
}

func (c *checkCmd) schemaFor(path string) (settingsSchema, error) {
	name := c.program
	for _, n := range programNames() {
		if name == "" && strings.HasPrefix(filepath.Base(path), n) {
			name = n
		}
	}
	schema, ok := schemas[name]
	if !ok {
		return schema, usageError("%s: -program is needed: one of %s", path, strings.Join(programNames(), ", "))
	}
	return schema, nil
}

func programNames() []string {
	names := make([]string, 0, len(schemas))
	for n := range schemas {
		names = append(names, n)
	}
	sort.Strings(names)
	return names
}
