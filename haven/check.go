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

// program knows the settings of one program.
type program struct {
	settings func() boot.Checker
	keys     func(boot.Checker) keys.Files
}

// known returns a program with settings of type S.
func known[S boot.Checker](defaults func() S, files func(S) keys.Files) program {
	p := program{settings: func() boot.Checker { return defaults() }}
	if files != nil {
		p.keys = func(c boot.Checker) keys.Files { return files(c.(S)) }
	}
	return p
}

var programs = map[string]program{
	"entryd": known(setup.Defaults, func(s *setup.Settings) keys.Files { return s.Keys }),
	"keepd":  known(conf.Default, func(s *conf.Settings) keys.Files { return s.Keys }),
	"stand":  known(func() *config.Settings { return new(config.Settings) }, nil),
}

// checkCmd checks settings files.
type checkCmd struct {
	program string
	files   bool
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
	f.BoolVar(&c.files, "files", false, "load the key files, too")
}

// Execute implements subcommands.Command.
func (c *checkCmd) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() == 0 {
		return finish(usage("a settings file is needed"))
	}
	worst := subcommands.ExitSuccess
	for _, path := range f.Args() {
		if err := c.check(path); err != nil {
			worst = finish(err)
			continue
		}
		fmt.Printf("%s: ok\n", path)
	}
	return worst
}

func (c *checkCmd) check(path string) error {
	p, err := c.find(path)
	if err != nil {
		return err
	}
	s := p.settings()
	if err := boot.Load(path, s); err != nil {
		return fmt.Errorf("check: %w", err)
	}
	if !c.files || p.keys == nil {
		return nil
	}
	if _, err := keys.Load(p.keys(s)); err != nil {
		return boot.Fail(boot.ExitSettings, fmt.Errorf("%s: keys: %w", path, err))
	}
	return nil
}

func (c *checkCmd) find(path string) (program, error) {
	name := c.program
	for _, n := range programNames() {
		if name == "" && strings.HasPrefix(filepath.Base(path), n) {
			name = n
		}
	}
	p, ok := programs[name]
	if !ok {
		return p, usage("%s: -program is needed: one of %s", path, strings.Join(programNames(), ", "))
	}
	return p, nil
}

func programNames() []string {
	names := make([]string, 0, len(programs))
	for n := range programs {
		names = append(names, n)
	}
	sort.Strings(names)
	return names
}
