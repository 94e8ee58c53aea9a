package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/google/subcommands"

	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/process/boot"
	"verbenahaven.example/core/process/keys"
	"verbenahaven.example/core/version/state"
)

func init() {
	register(&keysCmd{})
}

const (
	year         = 365 * 24 * time.Hour
	fleetLife    = 10 * year
	instanceLife = year
	// backdate lets instances whose clocks are behind accept a new key.
	backdate   = time.Hour
	tokenBytes = 32
	folderMode = 0o700
)

// keysCmd makes keys and tokens.
type keysCmd struct {
	folder string
	name   string
	life   time.Duration
}

func (*keysCmd) Name() string     { return "keys" }
func (*keysCmd) Synopsis() string { return "make and rotate the keys of a fleet" }
func (*keysCmd) Usage() string {
	return `haven keys [flags] fleet | instance NAME... | rotate | retire | show | token

  fleet      make the fleet's authority: fleet.crt and fleet.key
  instance   make NAME.crt and NAME.key for each instance, signed by the newest
             authority; NAME is the instance's name in its settings
  rotate     add a second authority, which signs from now on; both are accepted
  retire     drop the older authority
  show       list the certificates in the folder with their dates
  token      make a random token and the digest that an account declares

fleet.key stays with the operators. Instances need fleet.crt and their own pair;
they follow changes of these files without a restart.

Examples:
  haven keys -folder split -name split fleet
  haven keys -folder split instance keep1 keep2 keep3 entry1
  haven keys -folder split rotate

Flags:
`
}

// SetFlags implements subcommands.Command.
func (c *keysCmd) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.folder, "folder", ".", "folder of the keys")
	f.StringVar(&c.name, "name", "fleet", "name of the fleet, for the verb fleet")
	f.DurationVar(&c.life, "life", 0, "life of what is made; 0 gives authorities ten years, instances one")
}

// Execute implements subcommands.Command.
func (c *keysCmd) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return finish(c.run(f.Arg(0), f.Args()))
}

func (c *keysCmd) run(verb string, args []string) error {
	if len(args) > 1 && verb != "instance" {
		return usage("keys %s takes no names", verb)
	}
	from := time.Now().Add(-backdate)
	switch verb {
	case "fleet":
		return c.fleet(from)
	case "instance":
		return c.instances(args[1:], from)
	case "rotate":
		return failed(keys.Rotate(c.folder, from, c.term(fleetLife)))
	case "retire":
		return failed(keys.Retire(c.folder))
	case "show":
		return c.show()
	case "token":
		return makeToken()
	default:
		return usage("one of fleet, instance, rotate, retire, show, token is needed")
	}
}

func failed(err error) error {
	if err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	return nil
}

func (c *keysCmd) term(usual time.Duration) time.Duration {
	if c.life == 0 {
		return usual
	}
	return c.life
}

func (c *keysCmd) fleet(from time.Time) error {
	if err := os.MkdirAll(c.folder, folderMode); err != nil {
		return boot.Fail(boot.ExitFolder, fmt.Errorf("make folder: %w", err))
	}
	return failed(keys.MakeFleet(c.folder, c.name, from, c.term(fleetLife)))
}

func (c *keysCmd) instances(names []string, from time.Time) error {
	if len(names) == 0 {
		return usage("the name of an instance is needed")
	}
	for _, n := range names {
		if n == "" || n != filepath.Base(n) || strings.HasPrefix(n, ".") || n+".crt" == keys.AuthorityCert {
			return usage("%q can't be the name of an instance", n)
		}
		if err := keys.MakeInstance(c.folder, n, from, c.term(instanceLife)); err != nil {
			return fmt.Errorf("keys: %s: %w", n, err)
		}
		fmt.Println(filepath.Join(c.folder, n+".crt"))
	}
	return nil
}

func (c *keysCmd) show() error {
	paths, err := filepath.Glob(filepath.Join(c.folder, "*.crt"))
	if err != nil {
		return fmt.Errorf("list keys: %w", err)
	}
	t := proto.Table{Columns: []string{"file", "name", "from", "until", "state"}}
	now := time.Now()
	for _, p := range paths {
		list, err := keys.Authorities(p)
		if err != nil {
			return fmt.Errorf("show: %w", err)
		}
		for _, x := range list {
			t.Rows = append(t.Rows, []string{
				filepath.Base(p), x.Subject.CommonName,
				x.NotBefore.UTC().Format(time.RFC3339), x.NotAfter.UTC().Format(time.RFC3339),
				validity(now, x.NotBefore, x.NotAfter),
			})
		}
	}
	return printTable(t)
}

func validity(now, from, until time.Time) string {
	switch {
	case now.Before(from):
		return "early"
	case now.After(until):
		return "expired"
	default:
		return "valid"
	}
}

func makeToken() error {
	b := make([]byte, tokenBytes)
	if _, err := rand.Read(b); err != nil {
		return fmt.Errorf("make token: %w", err)
	}
	t := hex.EncodeToString(b)
	return printTable(proto.Table{
		Columns: []string{"token", "digest"},
		Rows:    [][]string{{t, state.TokenDigest(t)}},
	})
}
