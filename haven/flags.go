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

// Environment variables that stand in for flags.
const (
	envToken    = "VERBENAHAVEN_TOKEN" //nolint:gosec // the name of a variable, not a token
	envKeeper   = "VERBENAHAVEN_KEEPER"
	envOperator = "VERBENAHAVEN_OPERATOR"
)

const (
	defaultOperator = "operator"
	defaultTimeout  = 20 * time.Second
)

// keeperFlags are the flags of commands that talk to the instances that keep
// the state.
type keeperFlags struct {
	keepers   string
	operator  string
	tokenFile string
	timeout   time.Duration
	json      bool
}

func (k *keeperFlags) set(f *flag.FlagSet) {
	f.StringVar(&k.keepers, "keeper", os.Getenv(envKeeper), "URLs of the instances that keep the state, separated by commas (env "+envKeeper+")")
	f.StringVar(&k.operator, "operator", orElse(os.Getenv(envOperator), defaultOperator), "operator account (env "+envOperator+")")
	f.StringVar(&k.tokenFile, "token-file", "", "file with the operator's token; default: env "+envToken)
	f.DurationVar(&k.timeout, "timeout", defaultTimeout, "longest time to wait for an answer")
	f.BoolVar(&k.json, "json", false, "write JSON instead of tables")
}

func orElse(text, other string) string {
	if text == "" {
		return other
	}
	return text
}

func (k *keeperFlags) token() (string, error) {
	if k.tokenFile == "" {
		return os.Getenv(envToken), nil
	}
	b, err := os.ReadFile(k.tokenFile)
	if err != nil {
		return "", fmt.Errorf("read token: %w", err)
	}
	return strings.TrimSpace(string(b)), nil
}

// client returns a client for the flags and its clean-up.
func (k *keeperFlags) client() (*client.Client, func(), error) {
	urls := addresses(k.keepers)
	if len(urls) == 0 {
		return nil, nil, usage("-keeper URL,... or %s is needed", envKeeper)
	}
	token, err := k.token()
	if err != nil {
		return nil, nil, err
	}
	c, cleanup := client.New(urls, token)
	return c, cleanup, nil
}

// send runs a text under a number and prints the answer.
func (k *keeperFlags) send(ctx context.Context, text string, number, expect uint64) error {
	reply, err := k.query(ctx, text, number, expect)
	if err != nil {
		return err
	}
	return k.print(reply)
}

func (k *keeperFlags) query(ctx context.Context, text string, number, expect uint64) (proto.RunReply, error) {
	c, cleanup, err := k.client()
	if err != nil {
		return proto.RunReply{}, err
	}
	defer cleanup()
	ctx, cancel := context.WithTimeout(ctx, k.timeout)
	defer cancel()
	reply, err := c.Run(ctx, proto.RunRequest{Operator: k.operator, Number: number, Expect: expect, Text: text})
	if err != nil {
		return reply, fmt.Errorf("run text: %w", err)
	}
	return reply, nil
}

func (k *keeperFlags) print(reply proto.RunReply) error {
	if k.json {
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
	if err := table.JSON(os.Stdout, v); err != nil {
		return fmt.Errorf("print: %w", err)
	}
	return nil
}

func printTable(t proto.Table) error {
	if err := table.Text(os.Stdout, t); err != nil {
		return fmt.Errorf("print: %w", err)
	}
	return nil
}

func addresses(list string) []string {
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

// textOf reads the text of a command from its arguments, a file or standard
// input, and checks its language before anything is sent.
func textOf(f *flag.FlagSet, file string) (string, []lang.Statement, error) {
	text, err := source(f, file)
	if err != nil {
		return "", nil, err
	}
	list, err := lang.Parse(text)
	if err != nil {
		return "", nil, usage("%v", err)
	}
	if len(list) == 0 {
		return "", nil, usage("the text has no statement")
	}
	return text, list, nil
}

func source(f *flag.FlagSet, file string) (string, error) {
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

// memoryFolder is where the numbers of unanswered commands are remembered.
func memoryFolder() (string, error) {
	if folder := os.Getenv("XDG_STATE_HOME"); folder != "" {
		return filepath.Join(folder, "verbenahaven"), nil
	}
	home, err := os.UserHomeDir()
	if err != nil {
		return "", fmt.Errorf("find home folder: %w", err)
	}
	return filepath.Join(home, ".local", "state", "verbenahaven"), nil
}
