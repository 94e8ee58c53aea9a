// Package fleet starts a whole deployment as separate processes on the
// loopback interface, for the demo, the trials and the tests of failures.
package fleet

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"verbenahaven.example/core/process/keys"
	"verbenahaven.example/core/version/state"
)

const (
	keyLife    = 24 * time.Hour
	folderMode = 0o755
	tokenBytes = 16
	// operator is the account that the settings of keepd name.
	operator = "operator"
	// readyWait bounds how long the fleet may take to elect a leader and to
	// answer callers.
	readyWait = 20 * time.Second
)

// ErrUsed tells that the folder holds the settings of another deployment.
var ErrUsed = errors.New("folder is not empty")

// ErrNotReady tells that the fleet did not answer in time.
var ErrNotReady = errors.New("not ready in time")

// Engine describes a stand-in engine. Extra holds further keys of its table in
// the settings of stand.
type Engine struct {
	Name   string
	Centre string
	Model  string
	Role   state.Role
	Fenced bool
	Extra  map[string]any
}

// Plain describes a stand-in plain service.
type Plain struct {
	Name    string
	Centre  string
	Service string
	Extra   map[string]any
}

// Options describe a deployment.
type Options struct {
	Bin     string // folder of the programs
	Folder  string // folder for settings, logs and data
	Keepers int
	Spares  int
	Entries int
	Centres []string
	Engines []Engine
	Plains  []Plain
	// Declare is a text in the operators' language that is run once the fleet
	// answers, after the engines and plain servers were declared.
	Declare string
	// Operators names further operator accounts.
	Operators []string
	// Links puts a UDP proxy on each link between two instances.
	Links bool
	// Wires puts a TCP proxy before each backend server.
	Wires bool
	// Keep and Entry overlay the settings of each keepd and entryd.
	Keep  map[string]any
	Entry map[string]any
}

// Fleet is a running deployment.
type Fleet struct {
	options   Options
	ports     *ports
	token     string
	caller    string
	operators map[string]string // token by operator account
	client    *http.Client
	processes map[string]*Process
	keepers   []*Process
	entries   []*Process
	backends  *Process
	proxies   *Process
	urls      map[string]string // backend servers and services of the platform
	controls  map[string]string // control URL by target of faults
	number    uint64
}

// Start starts all processes and waits until they serve. The clean-up stops
// what still runs.
func Start(ctx context.Context, o Options) (*Fleet, func(), error) {
	p, release, err := reserve()
	if err != nil {
		return nil, nil, fmt.Errorf("reserve ports: %w", err)
	}
	f := &Fleet{
		options:   o,
		ports:     p,
		token:     newToken(),
		caller:    newToken(),
		client:    &http.Client{Timeout: 10 * time.Second},
		processes: make(map[string]*Process),
		operators: make(map[string]string),
		urls:      make(map[string]string),
		controls:  make(map[string]string),
	}
	f.operators[operator] = f.token
	for _, name := range o.Operators {
		f.operators[name] = newToken()
	}
	cleanup := func() {
		f.killAll()
		f.client.CloseIdleConnections()
		release()
	}
	if err := f.start(ctx); err != nil {
		cleanup()
		return nil, nil, err
	}
	return f, cleanup, nil
}

func (f *Fleet) start(ctx context.Context) error {
	if old, err := os.ReadDir(f.options.Folder); err == nil && len(old) > 0 {
		return fmt.Errorf("use folder %s: %w", f.options.Folder, ErrUsed)
	}
	for _, d := range []string{f.options.Folder, f.path("keys"), f.path("data")} {
		if err := os.MkdirAll(d, folderMode); err != nil {
			return fmt.Errorf("make folder: %w", err)
		}
	}
	f.plan()
	if err := f.makeKeys(); err != nil {
		return err
	}
	if err := f.writeSettings(); err != nil {
		return err
	}
	for _, p := range f.order() {
		if err := p.Start(); err != nil {
			return err
		}
	}
	if err := f.declare(ctx); err != nil {
		return err
	}
	return f.waitEntries(ctx)
}

// plan gives each process its name and addresses.
func (f *Fleet) plan() {
	for i := range f.options.Keepers + f.options.Spares {
		f.keepers = append(f.keepers, f.instance("keepd", fmt.Sprintf("keep%d", i+1), i))
	}
	for i := range f.options.Entries {
		f.entries = append(f.entries, f.instance("entryd", fmt.Sprintf("entry%d", i+1), i))
	}
	f.backends = f.process("stand", "backends")
	f.backends.url = "http://" + f.ports.next()
	if f.options.Links || f.options.Wires {
		f.proxies = f.process("stand", "proxies")
		f.proxies.url = "http://" + f.ports.next()
	}
}

func (f *Fleet) instance(program, name string, i int) *Process {
	p := f.process(program, name)
	p.centre = f.options.Centres[i%len(f.options.Centres)]
	p.url = "http://" + f.ports.next()
	p.link = f.ports.next()
	return p
}

func (f *Fleet) process(program, name string) *Process {
	p := &Process{
		name:     name,
		program:  filepath.Join(f.options.Bin, program),
		settings: f.path(name + ".toml"),
		output:   f.path(name + ".log"),
		folder:   f.path(filepath.Join("data", name)),
	}
	f.processes[name] = p
	return p
}

func (f *Fleet) order() []*Process {
	all := []*Process{f.backends}
	if f.proxies != nil {
		all = append(all, f.proxies)
	}
	all = append(all, f.keepers...)
	return append(all, f.entries...)
}

func (f *Fleet) makeKeys() error {
	from := time.Now().Add(-time.Hour)
	if err := keys.MakeFleet(f.path("keys"), "trial", from, keyLife); err != nil {
		return fmt.Errorf("make fleet key: %w", err)
	}
	for _, p := range append(append([]*Process{}, f.keepers...), f.entries...) {
		if err := keys.MakeInstance(f.path("keys"), p.name, from, keyLife); err != nil {
			return fmt.Errorf("make key of %s: %w", p.name, err)
		}
	}
	return nil
}

func (f *Fleet) path(name string) string {
	return filepath.Join(f.options.Folder, name)
}

func newToken() string {
	b := make([]byte, tokenBytes)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

// Digest returns the digest of a token, as accounts are declared with it.
func Digest(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// Token is the bearer token of the operator account.
func (f *Fleet) Token() string { return f.token }

// OperatorToken is the bearer token of one of the operator accounts, "" if
// there is none of that name.
func (f *Fleet) OperatorToken(name string) string { return f.operators[name] }

// CallerToken is the bearer token of the caller account "caller".
func (f *Fleet) CallerToken() string { return f.caller }

// Keepers returns the instances that keep the state, voters first.
func (f *Fleet) Keepers() []*Process { return f.keepers }

// Entries returns the entry instances.
func (f *Fleet) Entries() []*Process { return f.entries }

// Process returns a process by name, nil if there is none.
func (f *Fleet) Process(name string) *Process { return f.processes[name] }

// URL returns the URL of a backend server or platform service as its stand-in
// listens, without any proxy.
func (f *Fleet) URL(name string) string { return f.urls[name] }
