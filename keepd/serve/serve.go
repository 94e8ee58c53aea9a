// Package serve connects the leader's handlers to the links from other
// instances, and serves the HTTP API for operators. A keeper that doesn't lead
// forwards operators' commands to the leader.
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
	maxBodyBytes      = 1 << 20 // of a request to /run
	runTimeout        = 4 * time.Second
	retryAfterSeconds = 1
)

// Register adds the handlers for requests from other instances to a server.
func Register(s *link.Server, l *lead.Leader) {
	link.Handle(s, proto.KindWatch, l.Watch)
	link.Handle(s, proto.KindHeartbeat, l.Heartbeat)
	link.Handle(s, proto.KindOnce, l.Once)
	link.Handle(s, proto.KindGrants, l.LeaseLimits)
	link.Handle(s, proto.KindPublish, l.PublishRouting)
	link.Handle(s, proto.KindRouting, l.ReadRouting)
	link.Handle(s, proto.KindStrike, l.Strike)
	link.Handle(s, proto.KindScreen, l.Screen)
	link.Handle(s, proto.KindRun, l.RunCommands)
	link.Handle(s, proto.KindGroup, l.Group)
}

// API is the HTTP API for operators.
type API struct {
	settings *conf.Settings
	log      node.Log
	store    *store.Store
	lead     *lead.Leader
	meter    *meter.Registry
	peers    map[string]*link.Client
}

// New returns the HTTP API and a function that closes its connections.
func New(s *conf.Settings, n node.Log, st *store.Store, l *lead.Leader, m *meter.Registry, config *tls.Config) (*API, func()) {
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

// Handler returns the HTTP handler with all routes.
func (a *API) Handler() http.Handler {
	ws := new(restful.WebService)
	ws.Produces(restful.MIME_JSON)
	ws.Route(ws.POST("/run").To(a.handleRun))
	ws.Route(ws.GET("/status").To(a.handleStatus))
	ws.Route(ws.GET("/healthz").To(a.handleHealth))
	ws.Route(ws.GET("/metrics").Produces("text/plain").To(func(q *restful.Request, r *restful.Response) {
		a.meter.ServeHTTP(r, q.Request)
	}))
	c := restful.NewContainer()
	c.Add(ws)
	return c
}

// handleRun executes an operator's commands, here or at the leader.
func (a *API) handleRun(q *restful.Request, w *restful.Response) {
	var r proto.RunRequest
	d := json.NewDecoder(http.MaxBytesReader(w, q.Request.Body, maxBodyBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(&r); err != nil {
		a.writeRefusal(w, http.StatusBadRequest, "invalid", "not_run", err.Error())
		return
	}
	account, known := a.authenticate(q.Request)
	switch {
	case !known:
		a.writeRefusal(w, http.StatusServiceUnavailable, "no_leader", "not_run", "the state isn't there yet")
		return
	case account.Name == "" && !a.holdsLease():
		// The account may have been declared after this keeper's last update.
		w.AddHeader("Retry-After", strconv.Itoa(retryAfterSeconds))
		a.writeRefusal(w, http.StatusServiceUnavailable, "no_leader", "not_run", "the token isn't known here; only the leader can refuse it")
		return
	case account.Name == "":
		a.writeRefusal(w, http.StatusUnauthorized, "unauthorized", "not_run", "unknown token")
		return
	case !account.Operator || r.Operator != "" && r.Operator != account.Name:
		a.writeRefusal(w, http.StatusForbidden, lead.CodeDenied, "not_run", "not the account of operator "+strconv.Quote(r.Operator))
		return
	}
	r.Operator = account.Name
	ctx, cancel := context.WithTimeout(q.Request.Context(), runTimeout)
	defer cancel()
	reply, err := a.runAtLeader(ctx, r)
	if err != nil {
		a.writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, reply)
}

// authenticate returns the account of a request's bearer token, or an empty one
// if none matches. known is false while this keeper has no accounts to compare
// with.
func (a *API) authenticate(r *http.Request) (account state.Account, known bool) {
	token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	sum := sha256.Sum256([]byte(token))
	digest := []byte(hex.EncodeToString(sum[:]))
	v := a.store.View(0)
	for _, c := range v.Accounts {
		if subtle.ConstantTimeCompare(digest, []byte(strings.ToLower(c.TokenDigest))) == 1 {
			account = c
		}
	}
	return account, len(v.Accounts) > 0
}

// holdsLease reports whether this keeper holds the leader's lease. If it does,
// an account that is missing here doesn't exist.
func (a *API) holdsLease() bool {
	_, remaining := a.log.Lease()
	return remaining > 0
}

// runAtLeader executes commands at the leader, be it this keeper or another.
func (a *API) runAtLeader(ctx context.Context, r proto.RunRequest) (proto.RunReply, error) {
	leader := a.log.Status().Leader
	if leader == a.settings.Name {
		return a.lead.RunCommands(ctx, a.settings.Name, r) //nolint:wrapcheck // lead.Refusal reads its code
	}
	peer, found := a.peers[leader]
	if !found {
		return proto.RunReply{}, &link.RemoteError{Code: link.CodeNotLeader}
	}
	a.meter.Count("run", "forwarded")
	reply, err := link.Call[proto.RunRequest, proto.RunReply](ctx, peer, proto.KindRun, r)
	if errors.Is(err, link.ErrNotSent) {
		return reply, &link.RemoteError{Code: link.CodeNotLeader, Detail: err.Error()}
	}
	if err != nil {
		return reply, fmt.Errorf("forward to %s: %w", leader, err)
	}
	return reply, nil
}

// writeError answers with a status and whether the commands ran: not_run, or
// unknown when they may have.
func (a *API) writeError(w *restful.Response, err error) {
	r, certain := lead.Refusal(err)
	if !certain {
		a.writeRefusal(w, http.StatusGatewayTimeout, "unknown", "unknown", err.Error())
		return
	}
	switch r.Code {
	case link.CodeNotLeader:
		w.AddHeader("Retry-After", strconv.Itoa(retryAfterSeconds))
		a.writeRefusal(w, http.StatusServiceUnavailable, "no_leader", "not_run", "no leader is known")
	case link.CodeOverloaded, link.CodeStopping:
		w.AddHeader("Retry-After", strconv.Itoa(retryAfterSeconds))
		a.writeRefusal(w, http.StatusServiceUnavailable, r.Code, "not_run", r.Detail)
	case link.CodeNoRoom:
		a.writeRefusal(w, http.StatusInsufficientStorage, r.Code, "not_run", r.Detail)
	case link.CodeTooLarge:
		a.writeRefusal(w, http.StatusRequestEntityTooLarge, r.Code, "not_run", r.Detail)
	case lead.CodeDenied:
		a.writeRefusal(w, http.StatusForbidden, r.Code, "not_run", r.Detail)
	case string(state.CodeInvalid):
		a.writeRefusal(w, http.StatusBadRequest, r.Code, "not_run", r.Detail)
	default:
		a.writeRefusal(w, http.StatusConflict, r.Code, "not_run", r.Detail)
	}
}

// RefuseWithoutDisk refuses all calls while the keeper's disk takes no writes.
func RefuseWithoutDisk(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", restful.MIME_JSON)
	w.Header().Set("Retry-After", strconv.Itoa(retryAfterSeconds))
	w.WriteHeader(http.StatusServiceUnavailable)
	_ = json.NewEncoder(w).Encode(newRefusal("no_leader", "not_run", "the disk of this keeper takes no writes"))
}

func (a *API) writeRefusal(w *restful.Response, status int, code, ran, message string) {
	a.meter.Count("refused", "run", code)
	writeJSON(w, status, newRefusal(code, ran, message))
}

func newRefusal(code, ran, message string) any {
	return struct {
		Error any `json:"error"`
	}{struct {
		Code    string `json:"code"`
		Message string `json:"message"`
		Ran     string `json:"ran"`
	}{code, message, ran}}
}

// writeJSON writes v as one line of JSON.
func writeJSON(w *restful.Response, status int, v any) {
	w.PrettyPrint(false)
	_ = w.WriteHeaderAndJson(status, v, restful.MIME_JSON)
}

func (a *API) handleStatus(_ *restful.Request, w *restful.Response) {
	s := a.log.Status()
	v := a.store.View(0)
	records, bytes := 0, 0
	a.store.Read(func(_ *state.State, l *ledger.Ledger) { records, bytes = l.Len(), l.UsedBytes() })
	writeJSON(w, http.StatusOK, struct {
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
		s.SinceContact.Milliseconds(), len(v.Engines), len(v.Members), records, bytes,
	})
}

// handleHealth reports whether this keeper knows a leader, and so takes part in
// the log.
func (a *API) handleHealth(_ *restful.Request, w *restful.Response) {
	if a.log.Status().Leader == "" {
		a.writeRefusal(w, http.StatusServiceUnavailable, "no_leader", "not_run", "no leader is known")
		return
	}
	writeJSON(w, http.StatusOK, struct {
		OK bool `json:"ok"`
	}{true})
}
