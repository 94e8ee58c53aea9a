// Package fleet starts a whole deployment as separate processes on the loopback
// interface and controls them, for the demo, the benchmarks and the end-to-end
// tests. Backend servers and the platform's services are simulated.
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
	keyValidity = 24 * time.Hour
	folderMode  = 0o755
	tokenBytes  = 16
	// operatorAccount is the initial operator account in the settings of keepd.
	operatorAccount = "operator"
	// readyTimeout bounds the wait for a leader, and for each entry instance to
	// answer callers.
	readyTimeout = 20 * time.Second
)

// ErrFolderNotEmpty is returned if the folder is not empty, because it may hold
// the settings of another deployment.
var ErrFolderNotEmpty = errors.New("folder is not empty")

// ErrNotReady is returned if a condition did not hold in time.
var ErrNotReady = errors.New("not ready in time")

// Engine describes a simulated engine. ExtraSettings holds further keys of its
// table in the settings of the stand program.
type Engine struct {
	Name          string
	Centre        string
	Model         string
	Role          state.Role
	Fenced        bool
	ExtraSettings map[string]any
}

// PlainServer describes a simulated server of a plain service. ExtraSettings is
// as in Engine.
type PlainServer struct {
	Name          string
	Centre        string
	Service       string
	ExtraSettings map[string]any
}

// Options describe a deployment.
type Options struct {
	Bin          string // folder of the programs
	Folder       string // folder for settings, logs and data
	Keepers      int
	Spares       int
	Entries      int
	Centres      []string
	Engines      []Engine
	PlainServers []PlainServer
	// Commands holds operator commands that declare the services. They run
	// after those that declare the accounts, models and engines, and before
	// those that declare the plain servers.
	Commands string
	// Operators lists the names of further operator accounts.
	Operators []string
	// ProxyLinks puts a UDP proxy on each link from an instance to a keeper.
	ProxyLinks bool
	// ProxyBackends puts a TCP proxy in front of each backend server.
	ProxyBackends bool
	// KeeperSettings and EntrySettings are merged over the generated settings of
	// each keepd and entryd.
	KeeperSettings map[string]any
	EntrySettings  map[string]any
}

// Fleet is a running deployment.
type Fleet struct {
	options        Options
	ports          *ports
	operatorToken  string
	callerToken    string
	operatorTokens map[string]string // token by operator account
	client         *http.Client
	processes      map[string]*Process
	keepers        []*Process
	entries        []*Process
	backends       *Process
	proxies        *Process
	urls           map[string]string // URL by name of backend server, platform service or proxy
	controlURLs    map[string]string // control URL by fault target
	lastNumber     uint64
}

// Start starts all processes and waits until they serve. The returned cleanup
// function kills the processes that still run and releases the ports.
func Start(ctx context.Context, o Options) (*Fleet, func(), error) {
	p, release, err := reserveBlock()
	if err != nil {
		return nil, nil, fmt.Errorf("reserve ports: %w", err)
	}
	f := &Fleet{
		options:        o,
		ports:          p,
		operatorToken:  newToken(),
		callerToken:    newToken(),
		client:         &http.Client{Timeout: 10 * time.Second},
		processes:      make(map[string]*Process),
		operatorTokens: make(map[string]string),
		urls:           make(map[string]string),
		controlURLs:    make(map[string]string),
	}
	f.operatorTokens[operatorAccount] = f.operatorToken
	for _, name := range o.Operators {
		f.operatorTokens[name] = newToken()
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
		return fmt.Errorf("use folder %s: %w", f.options.Folder, ErrFolderNotEmpty)
	}
	for _, d := range []string{f.options.Folder, f.path("keys"), f.path("data")} {
		if err := os.MkdirAll(d, folderMode); err != nil {
			return fmt.Errorf("make folder: %w", err)
		}
	}
	f.assignAddresses()
	if err := f.makeKeys(); err != nil {
		return err
	}
	if err := f.writeSettings(); err != nil {
		return err
	}
	for _, p := range f.startOrder() {
		if err := p.Start(); err != nil {
			return err
		}
	}
	if err := f.declareFleet(ctx); err != nil {
		return err
	}
	return f.waitEntries(ctx)
}

// assignAddresses assigns each process its name and addresses.
func (f *Fleet) assignAddresses() {
	for i := range f.options.Keepers + f.options.Spares {
		f.keepers = append(f.keepers, f.newInstance("keepd", fmt.Sprintf("keep%d", i+1), i))
	}
	for i := range f.options.Entries {
		f.entries = append(f.entries, f.newInstance("entryd", fmt.Sprintf("entry%d", i+1), i))
	}
	f.backends = f.newProcess("stand", "backends")
	f.backends.url = "http://" + f.ports.nextAddress()
	if f.options.ProxyLinks || f.options.ProxyBackends {
		f.proxies = f.newProcess("stand", "proxies")
		f.proxies.url = "http://" + f.ports.nextAddress()
	}
}

func (f *Fleet) newInstance(program, name string, i int) *Process {
	p := f.newProcess(program, name)
	p.centre = f.options.Centres[i%len(f.options.Centres)]
	p.url = "http://" + f.ports.nextAddress()
	p.linkAddress = f.ports.nextAddress()
	return p
}

func (f *Fleet) newProcess(program, name string) *Process {
	p := &Process{
		name:         name,
		programPath:  filepath.Join(f.options.Bin, program),
		settingsPath: f.path(name + ".toml"),
		logPath:      f.path(name + ".log"),
		dataFolder:   f.path(filepath.Join("data", name)),
	}
	f.processes[name] = p
	return p
}

func (f *Fleet) startOrder() []*Process {
	all := []*Process{f.backends}
	if f.proxies != nil {
		all = append(all, f.proxies)
	}
	all = append(all, f.keepers...)
	return append(all, f.entries...)
}

func (f *Fleet) makeKeys() error {
	from := time.Now().Add(-time.Hour)
	if err := keys.CreateAuthority(f.path("keys"), "trial", from, keyValidity); err != nil {
		return fmt.Errorf("make fleet key: %w", err)
	}
	for _, p := range append(append([]*Process{}, f.keepers...), f.entries...) {
		if err := keys.IssueCertificate(f.path("keys"), p.name, from, keyValidity); err != nil {
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

// Digest returns the digest of a token in the form that account declarations
// use.
func Digest(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// Token returns the bearer token of the initial operator account.
func (f *Fleet) Token() string { return f.operatorToken }

// OperatorToken returns the bearer token of an operator account, "" if there is
// none of that name.
func (f *Fleet) OperatorToken(name string) string { return f.operatorTokens[name] }

// CallerToken returns the bearer token of the client account "caller".
func (f *Fleet) CallerToken() string { return f.callerToken }

// Keepers returns the instances that hold the replicated state, voters before
// spares.
func (f *Fleet) Keepers() []*Process { return f.keepers }

// Entries returns the entry instances.
func (f *Fleet) Entries() []*Process { return f.entries }

// Process returns a process by name, nil if there is none.
func (f *Fleet) Process(name string) *Process { return f.processes[name] }

// DirectURL returns the URL on which a simulated backend server or platform
// service listens, bypassing any proxy.
func (f *Fleet) DirectURL(name string) string { return f.urls[name] }
