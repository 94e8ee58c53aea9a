package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/google/subcommands"

	"verbenahaven.example/core/version/state"
	"verbenahaven.example/trial/caller"
	"verbenahaven.example/trial/fleet"
)

const (
	demoTimeout  = 55 * time.Second
	stopTimeout  = 20 * time.Second
	drainTimeout = 10 * time.Second

	promptWords = 6000
)

var errUnexpected = errors.New("unexpected result")

func init() {
	register(&demoCmd{})
}

// demoCmd runs the main use case of the system end to end.
type demoCmd struct {
	bin string
}

func (*demoCmd) Name() string     { return "demo" }
func (*demoCmd) Synopsis() string { return "run the main job end to end with separate processes" }
func (*demoCmd) Usage() string {
	return "trial demo [-bin FOLDER]\n\nStarts a small deployment, serves calls, drains an engine and stops it all.\n"
}

func (c *demoCmd) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.bin, "bin", "bin", "folder of the programs")
}

func (c *demoCmd) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	if err := c.run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "demo: failed:", err)
		return subcommands.ExitFailure
	}
	fmt.Println("demo: ok")
	return subcommands.ExitSuccess
}

func (c *demoCmd) run(ctx context.Context) error {
	folder, err := os.MkdirTemp("", "verbenahaven-demo-")
	if err != nil {
		return fmt.Errorf("make folder: %w", err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	printStep("start 3 keepd, 3 entryd in 3 data centres, 4 engines, 1 plain service")
	f, cleanup, err := fleet.Start(ctx, demoOptions(c.bin, folder))
	if err != nil {
		return errors.Join(fmt.Errorf("start: %w", err), processLogs(folder))
	}
	defer cleanup()
	d := &demo{fleet: f, bin: c.bin, caller: caller.New(f.CallerToken())}
	defer d.caller.Close()
	for _, s := range []func(context.Context) error{d.askAddresses, d.streamChat, d.filePermit, d.askEngines, d.drainEngine} {
		if err := s(ctx); err != nil {
			return errors.Join(err, processLogs(folder))
		}
	}
	printStep("stop everything gracefully")
	if err := f.Stop(stopTimeout); err != nil {
		return errors.Join(fmt.Errorf("stop: %w", err), processLogs(folder))
	}
	return nil
}

// demoOptions returns the deployment of the demo.
func demoOptions(bin, folder string) fleet.Options {
	o := fleet.Options{
		Bin: bin, Folder: folder, Keepers: 3, Entries: 3,
		Centres:      []string{"north", "middle", "south"},
		PlainServers: []fleet.PlainServer{{Name: "permit1", Centre: "north", Service: "permit"}},
		Commands: "declare service counter kind model model spec revision 1 class first deadline 10s first 2s\n" +
			"declare service permit kind plain class first deadline 5s once true\n",
		EntrySettings: map[string]any{"address": map[string]any{"life": "1s"}},
	}
	roles := []state.Role{state.RolePrefill, state.RolePrefill, state.RoleDecode, state.RoleDecode}
	for i, r := range roles {
		o.Engines = append(o.Engines, fleet.Engine{
			Name: fmt.Sprintf("engine%d", i+1), Centre: o.Centres[i%len(o.Centres)],
			Model: "spec", Role: r, Fenced: true,
		})
	}
	return o
}

func printStep(format string, args ...any) {
	fmt.Printf("demo: "+format+"\n", args...)
}

// processLogs returns the logs of all processes, wrapped as an error so that
// they are printed with the failure.
func processLogs(folder string) error {
	names, err := filepath.Glob(filepath.Join(folder, "*.log"))
	if err != nil {
		return fmt.Errorf("list logs: %w", err)
	}
	var text strings.Builder
	for _, n := range names {
		b, err := os.ReadFile(n)
		if err != nil {
			return fmt.Errorf("read log: %w", err)
		}
		fmt.Fprintf(&text, "--- %s\n%s", filepath.Base(n), b)
	}
	return errors.New(text.String())
}

// demo is the state shared by the steps of the demo.
type demo struct {
	fleet  *fleet.Fleet
	bin    string
	caller *caller.Caller
	urls   []string
}

func (d *demo) askAddresses(ctx context.Context) error {
	urls, err := d.fleet.Addresses(ctx, d.fleet.Entries()[0])
	if err != nil {
		return fmt.Errorf("ask for addresses: %w", err)
	}
	if len(urls) < 2 {
		return fmt.Errorf("%d addresses, want 2 or more: %w", len(urls), errUnexpected)
	}
	d.urls = urls
	printStep("a caller asks which addresses to use: %s", strings.Join(urls, " "))
	return nil
}

func (d *demo) streamChat(ctx context.Context) error {
	answer, err := d.caller.Chat(ctx, d.urls[0], caller.Chat{Service: "counter", Prompt: longPrompt(), Tokens: 12, Seed: 7})
	if err != nil {
		return fmt.Errorf("chat: %w", err)
	}
	if !answer.Complete() || len(answer.Tokens()) != 12 {
		return fmt.Errorf("chat gave %d tokens, complete %t: %w", len(answer.Tokens()), answer.Complete(), errUnexpected)
	}
	printStep("a chat completion streams 12 tokens: %s", strings.Join(answer.Tokens(), ""))
	served, err := d.servedBy(ctx)
	if err != nil {
		return err
	}
	printStep("prefill on %s, KV cache handed to %s", served[state.RolePrefill], served[state.RoleDecode])
	return nil
}

// longPrompt returns a prompt that is long enough for prefill and decode to run
// on separate engines.
func longPrompt() string {
	return "Which panel systems are approved for a school roof? " + strings.Repeat("clause ", promptWords)
}

// servedBy returns the engine that served each role, by the histories that the
// simulated engines recorded.
func (d *demo) servedBy(ctx context.Context) (map[state.Role]string, error) {
	served := make(map[state.Role]string)
	for i, r := range []state.Role{state.RolePrefill, state.RolePrefill, state.RoleDecode, state.RoleDecode} {
		name := fmt.Sprintf("engine%d", i+1)
		var history []struct {
			Kind string `json:"kind"`
		}
		if err := d.fleet.History(ctx, name, &history); err != nil {
			return nil, fmt.Errorf("history of %s: %w", name, err)
		}
		if len(history) > 0 {
			served[r] = name
		}
	}
	if len(served) != 2 {
		return nil, fmt.Errorf("engines that took part: %v: %w", served, errUnexpected)
	}
	return served, nil
}

func (d *demo) filePermit(ctx context.Context) error {
	call := caller.PlainCall{Service: "permit", Path: "stamps", Key: "permit-4711", Body: `{"permit":4711}`}
	first, err := d.caller.CallPlain(ctx, d.urls[0], call)
	if err != nil {
		return fmt.Errorf("file permit: %w", err)
	}
	printStep("a permit is filed under the key %s: %s", call.Key, first.Body())
	second, err := d.caller.CallPlain(ctx, d.urls[1], call)
	if err != nil {
		return fmt.Errorf("file permit again: %w", err)
	}
	if first.Status() != 200 || string(first.Body()) != string(second.Body()) {
		return fmt.Errorf("answers %d %q and %d %q: %w", first.Status(), first.Body(), second.Status(), second.Body(), errUnexpected)
	}
	var history []struct {
		Kind string `json:"kind"`
	}
	if err := d.fleet.History(ctx, "permit1", &history); err != nil {
		return fmt.Errorf("history of permit1: %w", err)
	}
	runs := 0
	for _, h := range history {
		if h.Kind == "run" {
			runs++
		}
	}
	if runs != 1 {
		return fmt.Errorf("permit ran %d times, want 1: %w", runs, errUnexpected)
	}
	printStep("filed again through another instance: the first answer comes back, the service ran it once")
	return nil
}

func (d *demo) askEngines(ctx context.Context) error {
	out, err := d.runHaven(ctx, "ask", "ask engines show name, centre, role, phase, model")
	if err != nil {
		return err
	}
	printStep("an operator asks what runs where:\n%s", out)
	return nil
}

func (d *demo) drainEngine(ctx context.Context) error {
	if _, err := d.runHaven(ctx, "run", "drain engine engine2"); err != nil {
		return err
	}
	err := fleet.Wait(ctx, drainTimeout, func() error {
		out, err := d.runHaven(ctx, "ask", "ask engines where name = engine2 show phase")
		if err != nil {
			return err
		}
		if !strings.Contains(out, string(state.PhaseLeaving)) && !strings.Contains(out, string(state.PhaseGone)) {
			return fmt.Errorf("engine2: %s: %w", out, errUnexpected)
		}
		return nil
	})
	if err != nil {
		return fmt.Errorf("drain engine2: %w", err)
	}
	printStep("the operator drains engine2: it gets no new work")
	answer, err := d.caller.Chat(ctx, d.urls[0], caller.Chat{Service: "counter", Prompt: "And for a hospital?", Tokens: 5, Seed: 8})
	if err != nil {
		return fmt.Errorf("chat after drain: %w", err)
	}
	if !answer.Complete() {
		return fmt.Errorf("chat after drain is not complete: %w", errUnexpected)
	}
	printStep("a chat completion is still served: %s", strings.Join(answer.Tokens(), ""))
	return nil
}

func (d *demo) runHaven(ctx context.Context, command, text string) (string, error) {
	urls := make([]string, 0, len(d.fleet.Keepers()))
	for _, p := range d.fleet.Keepers() {
		urls = append(urls, p.URL())
	}
	cmd := exec.CommandContext(ctx, filepath.Join(d.bin, "haven"), command, "-keeper", strings.Join(urls, ","), text)
	cmd.Env = append(os.Environ(), "VERBENAHAVEN_TOKEN="+d.fleet.Token(), "HOME="+filepath.Dir(d.fleet.Keepers()[0].LogPath()))
	out, err := cmd.CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("haven %s %q: %w: %s", command, text, err, out)
	}
	return string(out), nil
}
