package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net/url"
	"os"
	"strings"

	"github.com/google/subcommands"

	"verbenahaven.example/core/version/lang"
	"verbenahaven.example/core/version/state"
	"verbenahaven.example/haven/client"
)

func init() {
	register(&explainCmd{})
}

var errNoRecord = errors.New("no instance has a record")

// explainCmd shows what is recorded about an engine, an order, a decision or a
// call.
type explainCmd struct {
	clientFlags
	entryURLs string
}

func (*explainCmd) Name() string     { return "explain" }
func (*explainCmd) Synopsis() string { return "explain an engine, order, decision or call" }
func (*explainCmd) Usage() string {
	return `haven explain [flags] engine NAME | order NUMBER | decision NUMBER | call ID

Engines, orders and decisions are explained by the instances that keep the
state; a call by the entry instance that served it. The ID of a call is in the
Request-Id header of its answer.

Examples:
  haven explain engine e1
  haven explain order 7
  haven explain -entry http://10.0.0.1:7301,http://10.0.0.2:7301 call 5f0c9a

Flags:
`
}

// SetFlags implements subcommands.Command.
func (c *explainCmd) SetFlags(f *flag.FlagSet) {
	c.defineFlags(f)
	f.StringVar(&c.entryURLs, "entry", os.Getenv("VERBENAHAVEN_ENTRY"), "URLs of entry instances, for calls (env VERBENAHAVEN_ENTRY)")
}

// Execute implements subcommands.Command.
func (c *explainCmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return reportResult(c.run(ctx, f))
}

func (c *explainCmd) run(ctx context.Context, f *flag.FlagSet) error {
	s, err := lang.ParseOne("explain " + strings.Join(f.Args(), " "))
	if err != nil {
		return usageError("%v", err)
	}
	if s.Noun() != state.NounCall {
		return c.send(ctx, s.String(), 0, 0)
	}
	return c.explainCall(ctx, s.Name())
}

// explainCall prints the record of a call from the first entry instance that
// has one.
func (c *explainCmd) explainCall(ctx context.Context, id string) error {
	urls := parseURLs(c.entryURLs)
	if len(urls) == 0 {
		return usageError("-entry URL,... is needed to explain a call")
	}
	token, err := c.token()
	if err != nil {
		return err
	}
	cl, cleanup := client.New(urls, token)
	defer cleanup()
	var failures []string
	for _, u := range urls {
		var record any
		err := cl.Get(ctx, u+"/explain?request="+url.QueryEscape(id), &record)
		if err == nil {
			return printJSON(record)
		}
		failures = append(failures, u+": "+err.Error())
	}
	return fmt.Errorf("call %s: %w: %s", id, errNoRecord, strings.Join(failures, "; "))
}
