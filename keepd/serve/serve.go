// Package serve answers other instances over links, and operators over HTTP.
package serve

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"crypto/tls"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/emicklei/go-restful/v3"

	"verbenahaven.example/core/conn/link"
	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/process/meter"
	"verbenahaven.example/core/process/node"
	"verbenahaven.example/core/version/ledger"
	"verbenahaven.example/core/version/state"
	"verbenahaven.example/core/version/store"
	"verbenahaven.example/keepd/conf"
	"verbenahaven.example/keepd/lead"
)

const (
	maxText      = 1 << 20 // bytes of a request body
	runTimeout   = 4 * time.Second
	retrySeconds = 1
)

// Register adds the handlers for other instances to a server.
func Register(s *link.Server, l *lead.Lead) {
	link.Handle(s, proto.KindWatch, l.Watch)
	link.Handle(s, proto.KindBeat, l.Beat)
	link.Handle(s, proto.KindOnce, l.Once)
	link.Handle(s, proto.KindSlice, l.Slice)
	link.Handle(s, proto.KindPost, l.Post)
	link.Handle(s, proto.KindTable, l.Table)
	link.Handle(s, proto.KindStrike, l.Strike)
	link.Handle(s, proto.KindRun, l.Run)
}

// API is the HTTP interface for operators.
type API struct {
	settings *conf.Settings
	log      node.Log
	store    *store.Store
	lead     *lead.Lead
	meter    *meter.Registry
	peers    map[string]*link.Client
}

// New returns the HTTP interface and its clean-up.
func New(s *conf.Settings, n node.Log, st *store.Store, l *lead.Lead, m *meter.Registry, config *tls.Config) (*API, func()) {
	a := &API{settings: s, log: n, store: st, lead: l, meter: m, peers: make(map[string]*link.Client)}
	var cleanups []func()
	for name, address := range s.Peers {
		if name == s.Name {
			continue
		}
		c, cleanup := link.NewClient(address, config)
		a.peers[name] = c
		cleanups = append(cleanups, cleanup)
	}
	return a, func() {
		for _, f := range cleanups {
			f()
		}
	}
}

// Handler returns the routes.
func (a *API) Handler() http.Handler {
	ws := new(restful.WebService)
	ws.Produces(restful.MIME_JSON)
	ws.Route(ws.POST("/run").To(a.run))
	ws.Route(ws.GET("/status").To(a.status))
	ws.Route(ws.GET("/healthz").To(a.health))
	ws.Route(ws.GET("/metrics").Produces("text/plain").To(func(q *restful.Request, r *restful.Response) {
		a.meter.ServeHTTP(r, q.Request)
	}))
	c := restful.NewContainer()
	c.Add(ws)
	return c
}

// run executes a text here or at the leader.
func (a *API) run(q *restful.Request, w *restful.Response) {
	var r proto.RunRequest
	d := json.NewDecoder(http.MaxBytesReader(w, q.Request.Body, maxText))
	d.DisallowUnknownFields()
	if err := d.Decode(&r); err != nil {
		a.refuse(w, http.StatusBadRequest, "invalid", "not_run", err.Error())
		return
	}
	account, known := a.account(q.Request)
	switch {
	case !known:
		a.refuse(w, http.StatusServiceUnavailable, "no_leader", "not_run", "the state isn't there yet")
		return
	case account.Name == "" && !a.current():
		// The account may have been declared since this member last heard.
		w.AddHeader("Retry-After", strconv.Itoa(retrySeconds))
		a.refuse(w, http.StatusServiceUnavailable, "no_leader", "not_run", "the token isn't known here; only the leader can refuse it")
		return
	case account.Name == "":
		a.refuse(w, http.StatusUnauthorized, "unauthorized", "not_run", "unknown token")
		return
	case !account.Operator || r.Operator != "" && r.Operator != account.Name:
		a.refuse(w, http.StatusForbidden, lead.CodeDenied, "not_run", "not the account of operator "+strconv.Quote(r.Operator))
		return
	}
	r.Operator = account.Name
	ctx, cancel := context.WithTimeout(q.Request.Context(), runTimeout)
	defer cancel()
	reply, err := a.forward(ctx, r)
	if err != nil {
		a.fail(w, err)
		return
	}
	write(w, http.StatusOK, reply)
}

// account finds the account of a bearer token. Known is false while this
// member has no state.
func (a *API) account(r *http.Request) (account state.Account, known bool) {
	token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	sum := sha256.Sum256([]byte(token))
	digest := []byte(hex.EncodeToString(sum[:]))
	v := a.store.View(0)
	for _, c := range v.Accounts {
		if subtle.ConstantTimeCompare(digest, []byte(strings.ToLower(c.Digest))) == 1 {
			account = c
		}
	}
	return account, len(v.Accounts) > 0
}

// current tells whether this member holds the leader's lease, so that what it
// doesn't know isn't there.
func (a *API) current() bool {
	_, remaining := a.log.Lease()
	return remaining > 0
}

// forward runs a text at the leader, wherever it is.
func (a *API) forward(ctx context.Context, r proto.RunRequest) (proto.RunReply, error) {
	leader := a.log.Status().Leader
	if leader == a.settings.Name {
		return a.lead.Run(ctx, a.settings.Name, r) //nolint:wrapcheck // codes are read from it
	}
	peer, found := a.peers[leader]
	if !found {
		return proto.RunReply{}, &link.Remote{Code: link.CodeNotLeader}
	}
	a.meter.Count("run", "forwarded")
	reply, err := link.Call[proto.RunRequest, proto.RunReply](ctx, peer, proto.KindRun, r)
	if errors.Is(err, link.ErrUnsent) {
		return reply, &link.Remote{Code: link.CodeNotLeader, Detail: err.Error()}
	}
	if err != nil {
		return reply, fmt.Errorf("forward to %s: %w", leader, err)
	}
	return reply, nil
}

// fail answers with what became of a text.
func (a *API) fail(w *restful.Response, err error) {
	r, certain := lead.Refusal(err)
	if !certain {
		a.refuse(w, http.StatusGatewayTimeout, "unknown", "unknown", err.Error())
		return
	}
	switch r.Code {
	case link.CodeNotLeader:
		w.AddHeader("Retry-After", strconv.Itoa(retrySeconds))
		a.refuse(w, http.StatusServiceUnavailable, "no_leader", "not_run", "no leader is known")
	case link.CodeFull, link.CodeStopping:
		w.AddHeader("Retry-After", strconv.Itoa(retrySeconds))
		a.refuse(w, http.StatusServiceUnavailable, r.Code, "not_run", r.Detail)
	case lead.CodeDenied:
		a.refuse(w, http.StatusForbidden, r.Code, "not_run", r.Detail)
	case string(state.CodeInvalid):
		a.refuse(w, http.StatusBadRequest, r.Code, "not_run", r.Detail)
	default:
		a.refuse(w, http.StatusConflict, r.Code, "not_run", r.Detail)
	}
}

func (a *API) refuse(w *restful.Response, status int, code, ran, message string) {
	a.meter.Count("refused", "run", code)
	write(w, status, struct {
		Error any `json:"error"`
	}{struct {
		Code    string `json:"code"`
		Message string `json:"message"`
		Ran     string `json:"ran"`
	}{code, message, ran}})
}

// write answers in one line of JSON.
func write(w *restful.Response, status int, v any) {
	w.PrettyPrint(false)
	_ = w.WriteHeaderAndJson(status, v, restful.MIME_JSON)
}

func (a *API) status(_ *restful.Request, w *restful.Response) {
	s := a.log.Status()
	v := a.store.View(0)
	records, bytes := 0, 0
	a.store.Read(func(_ *state.State, l *ledger.Ledger) { records, bytes = l.Len(), l.Bytes() })
	write(w, http.StatusOK, struct {
		Name     string   `json:"name"`
		Centre   string   `json:"centre"`
		Role     string   `json:"role"`
		Leader   string   `json:"leader"`
		Term     uint64   `json:"term"`
		Index    uint64   `json:"index"`
		Version  uint64   `json:"version"`
		Voters   []string `json:"voters"`
		Learners []string `json:"learners"`
		Heard    int64    `json:"heard_ms"`
		Engines  int      `json:"engines"`
		Members  int      `json:"members"`
		Records  int      `json:"records"`
		Bytes    int      `json:"bytes"`
	}{
		s.Name, a.settings.Centre, string(s.Role), s.Leader, s.Term, s.Applied, v.Version, s.Voters, s.Learners,
		s.Heard.Milliseconds(), len(v.Engines), len(v.Members), records, bytes,
	})
}

// health tells whether this member takes part in the group.
func (a *API) health(_ *restful.Request, w *restful.Response) {
	if a.log.Status().Leader == "" {
		a.refuse(w, http.StatusServiceUnavailable, "no_leader", "not_run", "no leader is known")
		return
	}
	write(w, http.StatusOK, struct {
		OK bool `json:"ok"`
	}{true})
}
