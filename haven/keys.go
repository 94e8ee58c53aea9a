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
	year              = 365 * 24 * time.Hour
	authorityValidity = 10 * year
	instanceValidity  = year
	// backdate shifts the start of validity into the past, so that instances
	// whose clocks are behind accept a new certificate.
	backdate   = time.Hour
	tokenBytes = 32
	folderMode = 0o700
)

// keysCmd issues and rotates the keys and certificates of a fleet, and makes
// operator and caller tokens.
type keysCmd struct {
	folder    string
	fleetName string
	validity  time.Duration
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
	f.StringVar(&c.fleetName, "name", "fleet", "name of the fleet, for the verb fleet")
	f.DurationVar(&c.validity, "life", 0, "life of what is made; 0 gives authorities ten years, instances one")
}

// Execute implements subcommands.Command.
func (c *keysCmd) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return reportResult(c.run(f.Arg(0), f.Args()))
}

func (c *keysCmd) run(verb string, args []string) error {
	if len(args) > 1 && verb != "instance" {
		return usageError("keys %s takes no names", verb)
	}
	notBefore := time.Now().Add(-backdate)
	switch verb {
	case "fleet":
		return c.makeAuthority(notBefore)
	case "instance":
		return c.makeInstanceKeys(args[1:], notBefore)
	case "rotate":
		return wrapKeysError(keys.StartRotation(c.folder, notBefore, c.validityOr(authorityValidity)))
	case "retire":
		return wrapKeysError(keys.FinishRotation(c.folder))
	case "show":
		return c.show()
	case "token":
		return printNewToken()
	default:
		return usageError("one of fleet, instance, rotate, retire, show, token is needed")
	}
}

func wrapKeysError(err error) error {
	if err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	return nil
}

func (c *keysCmd) validityOr(defaultValidity time.Duration) time.Duration {
	if c.validity == 0 {
		return defaultValidity
	}
	return c.validity
}

func (c *keysCmd) makeAuthority(notBefore time.Time) error {
	if err := os.MkdirAll(c.folder, folderMode); err != nil {
		return boot.WithExitCode(boot.ExitFolder, fmt.Errorf("make folder: %w", err))
	}
	return wrapKeysError(keys.CreateAuthority(c.folder, c.fleetName, notBefore, c.validityOr(authorityValidity)))
}

func (c *keysCmd) makeInstanceKeys(names []string, notBefore time.Time) error {
	if len(names) == 0 {
		return usageError("the name of an instance is needed")
	}
	for _, n := range names {
		if n == "" || n != filepath.Base(n) || strings.HasPrefix(n, ".") || n+".crt" == keys.AuthorityCert {
			return usageError("%q can't be the name of an instance", n)
		}
		if err := keys.IssueCertificate(c.folder, n, notBefore, c.validityOr(instanceValidity)); err != nil {
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
	table := proto.Table{Columns: []string{"file", "name", "from", "until", "state"}}
	now := time.Now()
	for _, p := range paths {
		list, err := keys.ReadCertificates(p)
		if err != nil {
			return fmt.Errorf("show: %w", err)
		}
		for _, cert := range list {
			table.Rows = append(table.Rows, []string{
				filepath.Base(p), cert.Subject.CommonName,
				cert.NotBefore.UTC().Format(time.RFC3339), cert.NotAfter.UTC().Format(time.RFC3339),
				certStatus(now, cert.NotBefore, cert.NotAfter),
			})
		}
	}
	return printTable(table)
}

func certStatus(now, notBefore, notAfter time.Time) string {
	switch {
	case now.Before(notBefore):
		return "early"
	case now.After(notAfter):
		return "expired"
	default:
		return "valid"
	}
}

func printNewToken() error {
	b := make([]byte, tokenBytes)
	if _, err := rand.Read(b); err != nil {
		return fmt.Errorf("make token: %w", err)
	}
	token := hex.EncodeToString(b)
	return printTable(proto.Table{
		Columns: []string{"token", "digest"},
		Rows:    [][]string{{token, state.TokenDigest(token)}},
	})
}
