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

var errNoAnswer = errors.New("an instance didn't answer")

// statusCmd prints the status of instances.
type statusCmd struct {
	clientFlags
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
	c.defineFlags(f)
}

// Execute implements subcommands.Command.
func (c *statusCmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return reportResult(c.run(ctx, f))
}

// instanceStatus is the status of one instance, or the error of the request.
type instanceStatus struct {
	URL    string         `json:"url"`
	Status map[string]any `json:"status,omitempty"`
	Error  string         `json:"error,omitempty"`
}

func (c *statusCmd) run(ctx context.Context, f *flag.FlagSet) error {
	var urls []string
	for _, a := range f.Args() {
		urls = append(urls, parseURLs(a)...)
	}
	if len(urls) == 0 {
		urls = parseURLs(c.keeperURLs)
	}
	if len(urls) == 0 {
		return usageError("a URL is needed")
	}
	token, err := c.token()
	if err != nil {
		return err
	}
	cl, cleanup := client.New(urls, token)
	defer cleanup()
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	reports := fetchStatuses(ctx, cl, urls)
	if err := c.show(reports); err != nil {
		return err
	}
	for _, r := range reports {
		if r.Error != "" {
			return fmt.Errorf("%s: %w", r.URL, errNoAnswer)
		}
	}
	return nil
}

// fetchStatuses queries all instances in parallel and returns their statuses in
// the order of urls.
func fetchStatuses(ctx context.Context, cl *client.Client, urls []string) []instanceStatus {
	results := make(chan instanceStatus, len(urls))
	for _, u := range urls {
		go func() {
			r := instanceStatus{URL: u}
			if err := cl.Get(ctx, u+"/status", &r.Status); err != nil {
				r.Error = err.Error()
			}
			results <- r
		}()
	}
	reports := make([]instanceStatus, 0, len(urls))
	for range urls {
		reports = append(reports, <-results)
	}
	sort.Slice(reports, func(i, j int) bool {
		return slices.Index(urls, reports[i].URL) < slices.Index(urls, reports[j].URL)
	})
	return reports
}

func (c *statusCmd) show(reports []instanceStatus) error {
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
			t.Rows = append(t.Rows, []string{r.URL, k, formatValue(r.Status[k])})
		}
	}
	return printTable(t)
}

// formatValue returns v as JSON, except that strings are not quoted.
func formatValue(v any) string {
	if s, ok := v.(string); ok {
		return s
	}
	b, err := json.Marshal(v)
	if err != nil {
		return fmt.Sprint(v)
	}
	return string(b)
}
