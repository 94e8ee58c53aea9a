package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/version/lang"
	"verbenahaven.example/haven/client"
	"verbenahaven.example/haven/table"
)

// Environment variables that give the defaults of flags.
const (
	envToken    = "VERBENAHAVEN_TOKEN" //nolint:gosec // the name of a variable, not a token
	envKeeper   = "VERBENAHAVEN_KEEPER"
	envOperator = "VERBENAHAVEN_OPERATOR"
)

const (
	defaultOperator = "operator"
	defaultTimeout  = 20 * time.Second
)

// clientFlags are the flags of commands that connect to the instances that keep
// the state.
type clientFlags struct {
	keeperURLs string
	operator   string
	tokenFile  string
	timeout    time.Duration
	json       bool
}

func (cf *clientFlags) defineFlags(f *flag.FlagSet) {
	f.StringVar(&cf.keeperURLs, "keeper", os.Getenv(envKeeper), "URLs of the instances that keep the state, separated by commas (env "+envKeeper+")")
	f.StringVar(&cf.operator, "operator", valueOrDefault(os.Getenv(envOperator), defaultOperator), "operator account (env "+envOperator+")")
	f.StringVar(&cf.tokenFile, "token-file", "", "file with the operator's token; default: env "+envToken)
	f.DurationVar(&cf.timeout, "timeout", defaultTimeout, "longest time to wait for an answer")
	f.BoolVar(&cf.json, "json", false, "write JSON instead of tables")
}

func valueOrDefault(value, fallback string) string {
	if value == "" {
		return fallback
	}
	return value
}

func (cf *clientFlags) token() (string, error) {
	if cf.tokenFile == "" {
		return os.Getenv(envToken), nil
	}
	b, err := os.ReadFile(cf.tokenFile)
	if err != nil {
		return "", fmt.Errorf("read token: %w", err)
	}
	return strings.TrimSpace(string(b)), nil
}

// client returns a client configured by the flags and a function that releases
// its connections.
func (cf *clientFlags) client() (*client.Client, func(), error) {
	urls := parseURLs(cf.keeperURLs)
	if len(urls) == 0 {
		return nil, nil, usageError("-keeper URL,... or %s is needed", envKeeper)
	}
	token, err := cf.token()
	if err != nil {
		return nil, nil, err
	}
	c, cleanup := client.New(urls, token)
	return c, cleanup, nil
}

// send runs a text under the given command number (0 for a query) and prints
// the reply. A nonzero expect is the version that the state must have.
func (cf *clientFlags) send(ctx context.Context, text string, number, expect uint64) error {
	reply, err := cf.query(ctx, text, number, expect)
	if err != nil {
		return err
	}
	return cf.print(reply)
}

func (cf *clientFlags) query(ctx context.Context, text string, number, expect uint64) (proto.RunReply, error) {
	c, cleanup, err := cf.client()
	if err != nil {
		return proto.RunReply{}, err
	}
	defer cleanup()
	ctx, cancel := context.WithTimeout(ctx, cf.timeout)
	defer cancel()
	reply, err := c.Run(ctx, proto.RunRequest{Operator: cf.operator, Number: number, ExpectedVersion: expect, Text: text})
	if err != nil {
		return reply, fmt.Errorf("run text: %w", err)
	}
	return reply, nil
}

func (cf *clientFlags) print(reply proto.RunReply) error {
	if cf.json {
		return printJSON(reply)
	}
	for i, t := range reply.Tables {
		if i > 0 {
			fmt.Println()
		}
		if err := printTable(t); err != nil {
			return err
		}
	}
	fmt.Println("version", reply.Version)
	return nil
}

func printJSON(v any) error {
	if err := table.WriteJSON(os.Stdout, v); err != nil {
		return fmt.Errorf("print: %w", err)
	}
	return nil
}

func printTable(t proto.Table) error {
	if err := table.WriteText(os.Stdout, t); err != nil {
		return fmt.Errorf("print: %w", err)
	}
	return nil
}

func parseURLs(list string) []string {
	var urls []string
	for u := range strings.SplitSeq(list, ",") {
		u = strings.TrimSpace(u)
		if u == "" {
			continue
		}
		if !strings.Contains(u, "://") {
			u = "http://" + u
		}
		urls = append(urls, u)
	}
	return urls
}

// readStatements reads a text from the arguments, a file or standard input, and
// parses it, so that syntax errors are found before anything is sent.
func readStatements(f *flag.FlagSet, file string) (string, []lang.Statement, error) {
	text, err := readText(f, file)
	if err != nil {
		return "", nil, err
	}
	statements, err := lang.Parse(text)
	if err != nil {
		return "", nil, usageError("%v", err)
	}
	if len(statements) == 0 {
		return "", nil, usageError("the text has no statement")
	}
	return text, statements, nil
}

func readText(f *flag.FlagSet, file string) (string, error) {
	if f.NArg() > 0 {
		return strings.Join(f.Args(), " "), nil
	}
	var b []byte
	var err error
	if file == "" || file == "-" {
		b, err = io.ReadAll(io.LimitReader(os.Stdin, lang.MaxText+1))
	} else {
		b, err = os.ReadFile(file)
	}
	if err != nil {
		return "", fmt.Errorf("read text: %w", err)
	}
	return string(b), nil
}

// pendingFolder returns the folder that stores the numbers of unanswered
// commands.
func pendingFolder() (string, error) {
	if folder := os.Getenv("XDG_STATE_HOME"); folder != "" {
		return filepath.Join(folder, "verbenahaven"), nil
	}
	home, err := os.UserHomeDir()
	if err != nil {
		return "", fmt.Errorf("find home folder: %w", err)
	}
	return filepath.Join(home, ".local", "state", "verbenahaven"), nil
}
