package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"slices"
	"sort"

	"github.com/google/subcommands"

	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/haven/client"
)

func init() {
	register(&statusCmd{})
}

var errSilent = errors.New("an instance didn't answer")

// statusCmd shows the status of instances.
type statusCmd struct {
	keeperFlags
}

func (*statusCmd) Name() string     { return "status" }
func (*statusCmd) Synopsis() string { return "show the status of instances" }
func (*statusCmd) Usage() string {
	return `haven status [flags] [URL...]

Shows the status of each instance given, of both kinds; without arguments those
of -keeper. Exits with 1 if one of them didn't answer.

Examples:
  haven status http://10.0.0.1:7101 http://10.0.0.2:7101
  haven status -json http://10.0.0.1:7301

Flags:
`
}

// SetFlags implements subcommands.Command.
func (c *statusCmd) SetFlags(f *flag.FlagSet) {
	c.set(f)
}

// Execute implements subcommands.Command.
func (c *statusCmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return finish(c.run(ctx, f))
}

// report is the status of one instance.
type report struct {
	URL    string         `json:"url"`
	Status map[string]any `json:"status,omitempty"`
	Error  string         `json:"error,omitempty"`
}

func (c *statusCmd) run(ctx context.Context, f *flag.FlagSet) error {
	var urls []string
	for _, a := range f.Args() {
		urls = append(urls, addresses(a)...)
	}
	if len(urls) == 0 {
		urls = addresses(c.keepers)
	}
	if len(urls) == 0 {
		return usage("a URL is needed")
	}
	token, err := c.token()
	if err != nil {
		return err
	}
	cl, cleanup := client.New(urls, token)
	defer cleanup()
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	reports := collect(ctx, cl, urls)
	if err := c.show(reports); err != nil {
		return err
	}
	for _, r := range reports {
		if r.Error != "" {
			return fmt.Errorf("%s: %w", r.URL, errSilent)
		}
	}
	return nil
}

// collect asks all instances at once.
func collect(ctx context.Context, cl *client.Client, urls []string) []report {
	answers := make(chan report, len(urls))
	for _, u := range urls {
		go func() {
			r := report{URL: u}
			if err := cl.Get(ctx, u+"/status", &r.Status); err != nil {
				r.Error = err.Error()
			}
			answers <- r
		}()
	}
	reports := make([]report, 0, len(urls))
	for range urls {
		reports = append(reports, <-answers)
	}
	sort.Slice(reports, func(i, j int) bool {
		return slices.Index(urls, reports[i].URL) < slices.Index(urls, reports[j].URL)
	})
	return reports
}

func (c *statusCmd) show(reports []report) error {
	if c.json {
		return printJSON(reports)
	}
	t := proto.Table{Columns: []string{"url", "key", "value"}}
	for _, r := range reports {
		if r.Error != "" {
			t.Rows = append(t.Rows, []string{r.URL, "error", r.Error})
			continue
		}
		names := make([]string, 0, len(r.Status))
		for k := range r.Status {
			names = append(names, k)
		}
		sort.Strings(names)
		for _, k := range names {
			t.Rows = append(t.Rows, []string{r.URL, k, plain(r.Status[k])})
		}
	}
	return printTable(t)
}

// plain writes a JSON value without quotes around a text.
func plain(v any) string {
	if s, ok := v.(string); ok {
		return s
	}
	b, err := json.Marshal(v)
	if err != nil {
		return fmt.Sprint(v)
	}
	return string(b)
}
