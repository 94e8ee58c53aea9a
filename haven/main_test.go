package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/version/lang"
	"verbenahaven.example/core/version/state"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"haven": main})
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:  "testdata",
		Cmds: map[string]func(*testscript.TestScript, bool, []string){"exits": checkExitCode},
		Setup: func(e *testscript.Env) error {
			for name, fault := range map[string]string{"KEEPER": "", "BAD": "no_leader", "LOSSY": "lost", "SILENT": "silent", "STUCK": "stuck"} {
				k := startFakeKeeper(fault)
				e.Defer(k.server.Close)
				e.Setenv(name, k.server.URL)
			}
			e.Setenv("DEAD", unreachableURL())
			for _, p := range programNames() {
				sample, err := os.ReadFile(filepath.Join("..", p, "sample.toml"))
				if err != nil {
					return err
				}
				// keepd's sample has an empty token digest, which operators must fill in.
				filled := strings.Replace(string(sample), `digest = ""`, `digest = "`+strings.Repeat("0", 64)+`"`, 1)
				if err := os.WriteFile(filepath.Join(e.WorkDir, p+".toml"), []byte(filled), 0o600); err != nil {
					return err
				}
			}
			e.Setenv("HOME", e.WorkDir)
			e.Setenv("GORACE", "atexit_sleep_ms=0")
			e.Setenv("VERBENAHAVEN_TOKEN", "secret")
			return nil
		},
	})
}

// checkExitCode implements the script command "exits CODE PROGRAM ARG...": it
// runs a program and fails unless it exits with CODE.
func checkExitCode(ts *testscript.TestScript, _ bool, args []string) {
	err := ts.Exec(args[1], args[2:]...)
	var exit *exec.ExitError
	if !errors.As(err, &exit) || strconv.Itoa(exit.ExitCode()) != args[0] {
		ts.Fatalf("%v, want exit code %s", err, args[0])
	}
}

// unreachableURL returns a URL at whose address nothing listens.
func unreachableURL() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer l.Close()
	return "http://" + l.Addr().String()
}

// fakeKeeper is a simulated keeper with the operators' HTTP API.
type fakeKeeper struct {
	server *httptest.Server
	fault  string // no_leader refuses all requests; lost drops the first reply to each number; silent drops all replies; stuck ignores drains and withdrawals

	mutex        sync.Mutex
	version      uint64
	textByNumber map[uint64]string
	engines      []state.Engine
}

func startFakeKeeper(fault string) *fakeKeeper {
	k := &fakeKeeper{fault: fault, version: 7, textByNumber: make(map[uint64]string)}
	k.engines = []state.Engine{{Name: "e1", Centre: "north", Phase: state.PhaseServing, Version: 3}, {Name: "e2", Phase: state.PhaseServing}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run", k.handleRun)
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, `{"name":"keep1","term":4,"voters":["keep1","keep2"]}`)
	})
	mux.HandleFunc("GET /explain", func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("request") != "5f" {
			writeError(w, http.StatusNotFound, "unknown_request", "no record")
			return
		}
		fmt.Fprint(w, `{"request":"5f","engine":"e1"}`)
	})
	k.server = httptest.NewServer(mux)
	return k
}

func writeError(w http.ResponseWriter, status int, code, message string) {
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{"error": map[string]string{"code": code, "message": message}})
}

func (k *fakeKeeper) handleRun(w http.ResponseWriter, r *http.Request) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	var request proto.RunRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		writeError(w, http.StatusBadRequest, "bad_request", err.Error())
		return
	}
	statements, err := lang.Parse(request.Text)
	earlier, seen := k.textByNumber[request.Number]
	switch {
	case r.Header.Get("Authorization") != "Bearer secret" || request.Operator != "operator":
		writeError(w, http.StatusUnauthorized, "not_authenticated", "unknown token")
	case k.fault == "no_leader":
		writeError(w, http.StatusServiceUnavailable, "no_leader", "no leader is known")
	case err != nil:
		writeError(w, http.StatusBadRequest, "bad_statement", err.Error())
	case seen && request.Number != 0 && earlier != request.Text:
		writeError(w, http.StatusConflict, "conflict", "another command has this number")
	case !seen && request.ExpectedVersion != 0 && request.ExpectedVersion != k.version:
		writeError(w, http.StatusConflict, "expect", fmt.Sprintf("the state is at version %d", k.version))
	default:
		k.applyAndReply(w, request, statements, seen)
	}
}

func (k *fakeKeeper) applyAndReply(w http.ResponseWriter, request proto.RunRequest, statements []lang.Statement, isRetry bool) {
	reply := proto.RunReply{}
	for _, s := range statements {
		if c, changes := s.Change(); changes && !isRetry {
			k.version++
			k.applyChange(c)
			continue
		}
		if s.Verb() == lang.VerbAsk {
			table, _ := lang.Ask(lang.Data{View: state.View{Engines: k.engines}}, s)
			reply.Tables = append(reply.Tables, table)
		}
	}
	reply.Version = k.version
	if request.Number != 0 {
		k.textByNumber[request.Number] = request.Text
	}
	if k.fault == "silent" || k.fault == "lost" && !isRetry && request.Number != 0 {
		panic(http.ErrAbortHandler) // drops the connection after the change was applied
	}
	_ = json.NewEncoder(w).Encode(reply)
}

func (k *fakeKeeper) applyChange(change state.Change) {
	i := slices.IndexFunc(k.engines, func(e state.Engine) bool { return e.Name == change.Name })
	switch {
	case i < 0 || k.fault == "stuck":
	case change.Verb == state.VerbDrain:
		k.engines[i].Phase = state.PhaseLeaving
	case change.Verb == state.VerbWithdraw:
		k.engines = slices.Delete(k.engines, i, i+1)
	}
}

// TestUsageHasExamples checks that the help of each command shows examples and
// that docs/haven has a page on it.
func TestUsageHasExamples(t *testing.T) {
	for _, c := range commands {
		if c.Name() != "version" && !strings.Contains(c.Usage(), "Examples:\n  haven "+c.Name()) {
			t.Errorf("haven %s: no examples in its help", c.Name())
		}
		page, err := os.ReadFile("../docs/haven/" + c.Name() + ".md")
		if err != nil || !strings.Contains(string(page), "haven "+c.Name()) {
			t.Errorf("haven %s: no page in docs/haven: %v", c.Name(), err)
		}
	}
}
