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
	demoLimit = 55 * time.Second
	stopLimit = 20 * time.Second
	demoDrain = 10 * time.Second

	dossierWords = 6000
)

var errDemo = errors.New("not as expected")

func init() {
	register(&demoCmd{})
}

// demoCmd runs the main job of the system end to end.
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
	ctx, cancel := context.WithTimeout(ctx, demoLimit)
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
	step("start 3 keepd, 3 entryd in 3 data centres, 4 engines, 1 plain service")
	f, cleanup, err := fleet.Start(ctx, demoOptions(c.bin, folder))
	if err != nil {
		return errors.Join(fmt.Errorf("start: %w", err), outputs(folder))
	}
	defer cleanup()
	d := &demo{fleet: f, bin: c.bin, caller: caller.New(f.CallerToken())}
	defer d.caller.Close()
	for _, s := range []func(context.Context) error{d.address, d.chat, d.permit, d.ask, d.drain} {
		if err := s(ctx); err != nil {
			return errors.Join(err, outputs(folder))
		}
	}
	step("stop everything gracefully")
	if err := f.Stop(stopLimit); err != nil {
		return errors.Join(fmt.Errorf("stop: %w", err), outputs(folder))
	}
	return nil
}

// demoOptions describes the deployment of the demo.
func demoOptions(bin, folder string) fleet.Options {
	o := fleet.Options{
		Bin: bin, Folder: folder, Keepers: 3, Entries: 3,
		Centres: []string{"north", "middle", "south"},
		Plains:  []fleet.Plain{{Name: "permit1", Centre: "north", Service: "permit"}},
		Declare: "declare service counter kind model model spec revision 1 class first deadline 10s first 2s\n" +
			"declare service permit kind plain class first deadline 5s once true\n",
		Entry: map[string]any{"address": map[string]any{"life": "1s"}},
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

func step(format string, args ...any) {
	fmt.Printf("demo: "+format+"\n", args...)
}

// outputs returns what the processes logged, as an error to be shown.
func outputs(folder string) error {
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

// demo is the state that its steps share.
type demo struct {
	fleet  *fleet.Fleet
	bin    string
	caller *caller.Caller
	urls   []string
}

func (d *demo) address(ctx context.Context) error {
	urls, err := d.fleet.Addresses(ctx, d.fleet.Entries()[0])
	if err != nil {
		return fmt.Errorf("ask for addresses: %w", err)
	}
	if len(urls) < 2 {
		return fmt.Errorf("%d addresses, want 2 or more: %w", len(urls), errDemo)
	}
	d.urls = urls
	step("a caller asks which addresses to use: %s", strings.Join(urls, " "))
	return nil
}

func (d *demo) chat(ctx context.Context) error {
	answer, err := d.caller.Chat(ctx, d.urls[0], caller.Chat{Service: "counter", Prompt: dossier(), Tokens: 12, Seed: 7})
	if err != nil {
		return fmt.Errorf("chat: %w", err)
	}
	if !answer.Whole() || len(answer.Tokens()) != 12 {
		return fmt.Errorf("chat gave %d tokens, whole %t: %w", len(answer.Tokens()), answer.Whole(), errDemo)
	}
	step("a chat completion streams 12 tokens: %s", strings.Join(answer.Tokens(), ""))
	served, err := d.servedBy(ctx)
	if err != nil {
		return err
	}
	step("prefill on %s, KV cache handed to %s", served[state.RolePrefill], served[state.RoleDecode])
	return nil
}

// dossier is a prompt long enough to be prefilled on an engine of its own.
func dossier() string {
	return "Which panel systems are approved for a school roof? " + strings.Repeat("clause ", dossierWords)
}

// servedBy finds which engines took part, by their own histories.
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
		return nil, fmt.Errorf("engines that took part: %v: %w", served, errDemo)
	}
	return served, nil
}

func (d *demo) permit(ctx context.Context) error {
	call := caller.Call{Service: "permit", Path: "stamps", Key: "permit-4711", Body: `{"permit":4711}`}
	first, err := d.caller.Once(ctx, d.urls[0], call)
	if err != nil {
		return fmt.Errorf("file permit: %w", err)
	}
	step("a permit is filed under the key %s: %s", call.Key, first.Body())
	second, err := d.caller.Once(ctx, d.urls[1], call)
	if err != nil {
		return fmt.Errorf("file permit again: %w", err)
	}
	if first.Status() != 200 || string(first.Body()) != string(second.Body()) {
		return fmt.Errorf("answers %d %q and %d %q: %w", first.Status(), first.Body(), second.Status(), second.Body(), errDemo)
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
		return fmt.Errorf("permit ran %d times, want 1: %w", runs, errDemo)
	}
	step("filed again through another instance: the first answer comes back, the service ran it once")
	return nil
}

func (d *demo) ask(ctx context.Context) error {
	out, err := d.haven(ctx, "ask", "ask engines show name, centre, role, phase, model")
	if err != nil {
		return err
	}
	step("an operator asks what runs where:\n%s", out)
	return nil
}

func (d *demo) drain(ctx context.Context) error {
	if _, err := d.haven(ctx, "run", "drain engine engine2"); err != nil {
		return err
	}
	err := fleet.Wait(ctx, demoDrain, func() error {
		out, err := d.haven(ctx, "ask", "ask engines where name = engine2 show phase")
		if err != nil {
			return err
		}
		if !strings.Contains(out, string(state.PhaseLeaving)) && !strings.Contains(out, string(state.PhaseGone)) {
			return fmt.Errorf("engine2: %s: %w", out, errDemo)
		}
		return nil
	})
	if err != nil {
		return fmt.Errorf("drain engine2: %w", err)
	}
	step("the operator drains engine2: it gets no new work")
	answer, err := d.caller.Chat(ctx, d.urls[0], caller.Chat{Service: "counter", Prompt: "And for a hospital?", Tokens: 5, Seed: 8})
	if err != nil {
		return fmt.Errorf("chat after drain: %w", err)
	}
	if !answer.Whole() {
		return fmt.Errorf("chat after drain is not whole: %w", errDemo)
	}
	step("a chat completion is still served: %s", strings.Join(answer.Tokens(), ""))
	return nil
}

func (d *demo) haven(ctx context.Context, command, text string) (string, error) {
	urls := make([]string, 0, len(d.fleet.Keepers()))
	for _, p := range d.fleet.Keepers() {
		urls = append(urls, p.URL())
	}
	cmd := exec.CommandContext(ctx, filepath.Join(d.bin, "haven"), command, "-keeper", strings.Join(urls, ","), text)
	cmd.Env = append(os.Environ(), "VERBENAHAVEN_TOKEN="+d.fleet.Token(), "HOME="+filepath.Dir(d.fleet.Keepers()[0].Output()))
	out, err := cmd.CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("haven %s %q: %w: %s", command, text, err, out)
	}
	return string(out), nil
}
