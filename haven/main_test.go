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
		Cmds: map[string]func(*testscript.TestScript, bool, []string){"exits": exits},
		Setup: func(e *testscript.Env) error {
			for name, fault := range map[string]string{"KEEPER": "", "BAD": "no_leader", "LOSSY": "lost", "SILENT": "silent", "STUCK": "stuck"} {
				k := newKeeper(fault)
				e.Defer(k.server.Close)
				e.Setenv(name, k.server.URL)
			}
			e.Setenv("DEAD", deadURL())
			for _, p := range programNames() {
				sample, err := os.ReadFile(filepath.Join("..", p, "sample.toml"))
				if err != nil {
					return err
				}
				// The sample of keepd leaves the operator's digest open on purpose.
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

// exits runs a program and checks its exit code: exits CODE PROGRAM ARG...
func exits(ts *testscript.TestScript, _ bool, args []string) {
	err := ts.Exec(args[1], args[2:]...)
	var exit *exec.ExitError
	if !errors.As(err, &exit) || strconv.Itoa(exit.ExitCode()) != args[0] {
		ts.Fatalf("%v, want exit code %s", err, args[0])
	}
}

// deadURL is an address at which nothing listens.
func deadURL() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer l.Close()
	return "http://" + l.Addr().String()
}

// keeper is a stand-in for an instance that keeps the state.
type keeper struct {
	server *httptest.Server
	fault  string // no_leader refuses all; lost drops the first answer of each number; silent drops all; stuck drains nothing

	mutex   sync.Mutex
	version uint64
	texts   map[uint64]string
	engines []state.Engine
}

func newKeeper(fault string) *keeper {
	k := &keeper{fault: fault, version: 7, texts: make(map[uint64]string)}
	k.engines = []state.Engine{{Name: "e1", Centre: "north", Phase: state.PhaseServing, Version: 3}, {Name: "e2", Phase: state.PhaseServing}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run", k.run)
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, `{"name":"keep1","term":4,"voters":["keep1","keep2"]}`)
	})
	mux.HandleFunc("GET /explain", func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("request") != "5f" {
			fail(w, http.StatusNotFound, "unknown_request", "no record")
			return
		}
		fmt.Fprint(w, `{"request":"5f","engine":"e1"}`)
	})
	k.server = httptest.NewServer(mux)
	return k
}

func fail(w http.ResponseWriter, status int, code, message string) {
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{"error": map[string]string{"code": code, "message": message}})
}

func (k *keeper) run(w http.ResponseWriter, r *http.Request) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	var q proto.RunRequest
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		fail(w, http.StatusBadRequest, "bad_request", err.Error())
		return
	}
	list, err := lang.Parse(q.Text)
	seen, again := k.texts[q.Number]
	switch {
	case r.Header.Get("Authorization") != "Bearer secret" || q.Operator != "operator":
		fail(w, http.StatusUnauthorized, "not_authenticated", "unknown token")
	case k.fault == "no_leader":
		fail(w, http.StatusServiceUnavailable, "no_leader", "no leader is known")
	case err != nil:
		fail(w, http.StatusBadRequest, "bad_statement", err.Error())
	case again && q.Number != 0 && seen != q.Text:
		fail(w, http.StatusConflict, "conflict", "another command has this number")
	case !again && q.Expect != 0 && q.Expect != k.version:
		fail(w, http.StatusConflict, "expect", fmt.Sprintf("the state is at version %d", k.version))
	default:
		k.answer(w, q, list, again)
	}
}

func (k *keeper) answer(w http.ResponseWriter, q proto.RunRequest, list []lang.Statement, again bool) {
	reply := proto.RunReply{}
	for _, s := range list {
		if c, changes := s.Change(); changes && !again {
			k.version++
			k.change(c)
			continue
		}
		if s.Verb() == lang.VerbAsk {
			table, _ := lang.Ask(lang.Data{View: state.View{Engines: k.engines}}, s)
			reply.Tables = append(reply.Tables, table)
		}
	}
	reply.Version = k.version
	if q.Number != 0 {
		k.texts[q.Number] = q.Text
	}
	if k.fault == "silent" || k.fault == "lost" && !again && q.Number != 0 {
		panic(http.ErrAbortHandler) // the answer is lost after the change was made
	}
	_ = json.NewEncoder(w).Encode(reply)
}

func (k *keeper) change(c state.Change) {
	i := slices.IndexFunc(k.engines, func(e state.Engine) bool { return e.Name == c.Name })
	switch {
	case i < 0 || k.fault == "stuck":
	case c.Verb == state.VerbDrain:
		k.engines[i].Phase = state.PhaseLeaving
	case c.Verb == state.VerbWithdraw:
		k.engines = slices.Delete(k.engines, i, i+1)
	}
}

// TestUsageHasExamples checks that the help of each command shows examples.
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
