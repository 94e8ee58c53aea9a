package front_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"verbenahaven.example/core/conn/engine"
	"verbenahaven.example/core/conn/stream"
	"verbenahaven.example/core/version/state"
)

const chatRequest = `{"model":"counter","messages":[{"role":"user","content":"Which panel?"}],"stream":true,"max_tokens":20}`

func modelState(engines ...state.Engine) state.View {
	return state.View{
		Services: []state.Service{{Name: "counter", Kind: state.KindModel, Model: "spec", Class: state.ClassFirst}},
		Engines:  engines,
	}
}

func engineAt(name, url string, role state.Role) state.Engine {
	return state.Engine{Name: name, URL: url, Centre: "north", Role: role, Model: "spec", Phase: state.PhaseServing}
}

// readStream returns the text of a stream and checks that it is complete: every
// token once and in order, and the end marker.
func readStream(t *testing.T, a *http.Response) string {
	t.Helper()
	if a.StatusCode != http.StatusOK {
		b, _ := io.ReadAll(a.Body)
		t.Fatalf("status %d: %s", a.StatusCode, b)
	}
	var text strings.Builder
	r := stream.NewReader(a.Body)
	for next := 0; ; next++ {
		data, err := r.Next()
		if err != nil {
			t.Fatalf("stream broke after %d tokens: %v", next, err)
		}
		if string(data) == engine.EndOfStream {
			return text.String()
		}
		var e engine.Event
		if err := json.Unmarshal(data, &e); err != nil {
			t.Fatal(err)
		}
		if e.Token != next || e.Attempt != "" {
			t.Fatalf("token %d of attempt %q, want token %d and no attempt", e.Token, e.Attempt, next)
		}
		text.WriteString(e.Choices[0].Delta.Content)
	}
}

func wholeText() string {
	var b strings.Builder
	for i := range answerTokens {
		fmt.Fprintf(&b, "%d ", i)
	}
	return b.String()
}

func TestStreamsThroughPrefillAndDecode(t *testing.T) {
	p, d := newEngine(t), newEngine(t)
	b := newTestEntry(t, modelState(engineAt("p", p.URL, state.RolePrefill), engineAt("d", d.URL, state.RoleDecode)))
	long := strings.Replace(chatRequest, "Which", strings.Repeat("Which ", 1000), 1)
	a := b.send(t, http.MethodPost, "/v1/chat/completions", long)
	if got := readStream(t, a); got != wholeText() {
		t.Fatalf("got %q", got)
	}
	if len(p.received) != 1 || len(d.received) != 1 {
		t.Fatalf("prefill engine saw %d requests, decode engine %d", len(p.received), len(d.received))
	}
	id := a.Header.Get("Request-Id")
	record, _ := io.ReadAll(b.send(t, http.MethodGet, "/explain?request="+id, "").Body)
	if !strings.Contains(string(record), `"prefill":"p","decode":"d"`) {
		t.Fatalf("record of %s: %s", id, record)
	}
	if q := d.received[0]; q.KVSource != p.URL || q.KVHandle != "h-"+q.Attempt {
		t.Fatalf("decode request has source %q and handle %q", q.KVSource, q.KVHandle)
	}
}

func TestUnstreamedAnswer(t *testing.T) {
	e := newEngine(t)
	b := newTestEntry(t, modelState(engineAt("m", e.URL, state.RoleMixed)))
	a := b.send(t, http.MethodPost, "/v1/chat/completions", strings.Replace(chatRequest, `"stream":true`, `"stream":false`, 1))
	var got struct {
		Choices []struct{ Message engine.Message }
		Usage   struct {
			Completion int `json:"completion_tokens"`
		}
	}
	if err := json.NewDecoder(a.Body).Decode(&got); err != nil {
		t.Fatal(err)
	}
	if got.Choices[0].Message.Content != wholeText() || got.Usage.Completion != answerTokens {
		t.Fatalf("got %+v", got)
	}
}

// abortAt returns a fault that breaks the connection at a token.
func abortAt(at int) streamFault {
	return func(i int, _ *engine.Event, _ http.ResponseWriter) bool {
		if i == at {
			panic(http.ErrAbortHandler)
		}
		return true
	}
}

func TestStreamIsCompleteDespiteEngineFaults(t *testing.T) {
	cases := map[string]streamFault{
		"breaks at once":    abortAt(0),
		"breaks midway":     abortAt(7),
		"loses end marker":  func(i int, _ *engine.Event, _ http.ResponseWriter) bool { return i != answerTokens },
		"loses last token":  func(i int, _ *engine.Event, _ http.ResponseWriter) bool { return i != answerTokens-1 },
		"loses one token":   func(i int, _ *engine.Event, _ http.ResponseWriter) bool { return i != 5 },
		"repeats one token": func(i int, e *engine.Event, _ http.ResponseWriter) bool { return repeatToken(i, e, 9) },
		"mixes up attempts": func(i int, e *engine.Event, _ http.ResponseWriter) bool { return changeAttempt(i, e, 4) },
		"stalls": func(i int, _ *engine.Event, _ http.ResponseWriter) bool {
			if i == 6 {
				time.Sleep(400 * time.Millisecond)
				panic(http.ErrAbortHandler)
			}
			return true
		},
		"sends garbage": func(i int, _ *engine.Event, w http.ResponseWriter) bool {
			if i == 3 {
				_, _ = w.Write([]byte("data: {\n\n"))
			}
			return true
		},
	}
	for name, f := range cases {
		t.Run(name, func(t *testing.T) {
			one, two := newEngine(t, f), newEngine(t, f)
			b := newTestEntry(t, modelState(engineAt("one", one.URL, state.RoleMixed), engineAt("two", two.URL, state.RoleMixed)))
			if got := readStream(t, b.send(t, http.MethodPost, "/v1/chat/completions", chatRequest)); got != wholeText() {
				t.Fatalf("got %q", got)
			}
		})
	}
}

// Half of the engines hold other weights, and the service names none.
func TestStreamDoesNotGoOnAtOtherWeights(t *testing.T) {
	engines := make(map[string]*fakeEngine)
	names := []string{"r1-a", "r2-a", "r1-b", "r2-b"}
	list := make([]state.Engine, len(names))
	for i, name := range names {
		if engines[name] = newEngine(t); strings.HasSuffix(name, "-a") {
			engines[name].faults = []streamFault{abortAt(7), abortAt(7), abortAt(7)}
		}
		e := engineAt(name, engines[name].URL, state.RoleMixed)
		e.Revision, _, _ = strings.Cut(name, "-")
		list[i] = e
	}
	b := newTestEntry(t, modelState(list...))
	for i := range 12 {
		request := strings.Replace(chatRequest, "Which", fmt.Sprint("Which ", i), 1)
		if got := readStream(t, b.send(t, http.MethodPost, "/v1/chat/completions", request)); got != wholeText() {
			t.Fatalf("got %q", got)
		}
	}
	weights := make(map[string]string) // by request
	for name, e := range engines {
		revision, _, _ := strings.Cut(name, "-")
		for _, q := range e.received {
			id := q.Attempt[:strings.LastIndexByte(q.Attempt, '-')]
			if other, known := weights[id]; known && other != revision {
				t.Errorf("request %s ran with weights %s and %s", id, other, revision)
			}
			weights[id] = revision
		}
	}
}

func repeatToken(i int, e *engine.Event, at int) bool {
	if i == at {
		e.Token--
		e.Choices[0].Delta.Content = "repeated"
	}
	return true
}

func changeAttempt(i int, e *engine.Event, at int) bool {
	if i == at {
		e.Attempt = "other"
		e.Choices[0].Delta.Content = "crossed"
	}
	return true
}

func TestRunOnceCallIsReplayed(t *testing.T) {
	var ran atomic.Int32
	var id atomic.Value
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id.Store(r.Header.Get("Call-Id"))
		w.Header().Set("Content-Type", "text/plain")
		_, _ = fmt.Fprintf(w, "stamp %d at %s", ran.Add(1), r.URL.RequestURI())
	}))
	t.Cleanup(s.Close)
	gone := httptest.NewServer(nil)
	gone.Close()
	b := newTestEntry(t, state.View{
		Services: []state.Service{{Name: "permit", Kind: state.KindPlain, AtMostOnce: true}},
		Servers: []state.Server{
			{Name: "s1", URL: s.URL, Centre: "north", Service: "permit", Phase: state.PhaseServing},
			{Name: "s2", URL: gone.URL, Centre: "north", Service: "permit", Phase: state.PhaseServing},
		},
	})
	for range 5 {
		a := b.send(t, http.MethodPost, "/s/permit/stamps/7?x=1", "{}", "Idempotency-Key", "k1")
		body, _ := io.ReadAll(a.Body)
		if string(body) != "stamp 1 at /stamps/7?x=1" {
			t.Fatalf("status %d: %s", a.StatusCode, body)
		}
	}
	if id.Load() != "desk/k1" {
		t.Fatalf("call id %v", id.Load())
	}
	if a := b.send(t, http.MethodPost, "/s/permit/stamps/8", "{}", "Idempotency-Key", "k1"); a.StatusCode != http.StatusConflict {
		t.Fatalf("status %d for another request under the same key", a.StatusCode)
	}
}

func TestBrokenRunOnceCallIsNotResent(t *testing.T) {
	var ran atomic.Int32
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		ran.Add(1)
		panic(http.ErrAbortHandler)
	}))
	t.Cleanup(s.Close)
	b := newTestEntry(t, state.View{
		Services: []state.Service{{Name: "permit", Kind: state.KindPlain, AtMostOnce: true}},
		Servers:  []state.Server{{Name: "s1", URL: s.URL, Centre: "north", Service: "permit", Phase: state.PhaseServing}},
	})
	for range 3 {
		a := b.send(t, http.MethodPost, "/s/permit/stamps", "{}", "Idempotency-Key", "k1")
		if body, _ := io.ReadAll(a.Body); !strings.Contains(string(body), `"ran":"unknown"`) {
			t.Fatalf("status %d: %s", a.StatusCode, body)
		}
	}
	if n := ran.Load(); n != 1 {
		t.Fatalf("ran %d times", n)
	}
}

func TestRefusals(t *testing.T) {
	e := newEngine(t)
	v := modelState(engineAt("m", e.URL, state.RoleMixed))
	v.Services = append(v.Services, state.Service{Name: "permit", Kind: state.KindPlain, AtMostOnce: true},
		state.Service{Name: "away", Kind: state.KindModel, Model: "other"})
	v.Members = []state.Member{
		{Name: "entry1", Kind: state.MemberEntry, URL: "http://a", Centre: "north", Phase: state.PhaseServing},
		{Name: "entry2", Kind: state.MemberEntry, URL: "http://b", Centre: "south", Phase: state.PhaseLeaving},
	}
	b := newTestEntry(t, v)
	datadriven.RunTest(t, "testdata/refusals", func(t *testing.T, d *datadriven.TestData) string {
		return runRefusal(t, b, d)
	})
	a := b.send(t, http.MethodGet, "/address", "")
	if body, _ := io.ReadAll(a.Body); !strings.Contains(string(body), `[{"url":"http://a","centre":"north"}],"life_ms":1000`) {
		t.Fatalf("address answer %s", body)
	}
}

// runRefusal sends the request of a test case and describes the refusal.
func runRefusal(t *testing.T, b *testEntry, d *datadriven.TestData) string {
	path, body := "/v1/chat/completions", d.Input
	var headers []string
	for _, a := range d.CmdArgs {
		switch a.Key {
		case "path":
			path = a.Vals[0]
		case "blanks":
			n, err := strconv.Atoi(a.Vals[0])
			if err != nil {
				t.Fatal(err)
			}
			body = strings.Repeat(" ", n)
		case "fields":
			for i := range 101 {
				headers = append(headers, fmt.Sprint("X-", i), "x")
			}
		default:
			headers = append(headers, a.Key, a.Vals[0])
		}
	}
	a := b.send(t, d.Cmd, path, body, headers...)
	var got struct {
		Error struct {
			Code  string
			Ran   string
			Retry int64 `json:"retry_after_ms"`
		}
	}
	if err := json.NewDecoder(a.Body).Decode(&got); err != nil {
		t.Fatal(err)
	}
	if (a.Header.Get("Retry-After") != "") != (got.Error.Retry > 0) {
		t.Fatalf("Retry-After is %q, body has %d ms", a.Header.Get("Retry-After"), got.Error.Retry)
	}
	if b.meter.Value("refused", got.Error.Code) == 0 {
		t.Fatalf("%s: not counted", got.Error.Code)
	}
	text := fmt.Sprintf("%d %s %s", a.StatusCode, got.Error.Code, got.Error.Ran)
	if got.Error.Retry > 0 {
		text += ", retry later"
	}
	return text
}

func TestSlowBodyIsRefused(t *testing.T) {
	b := newTestEntry(t, modelState())
	r, w := io.Pipe()
	defer w.Close()
	q, err := http.NewRequestWithContext(t.Context(), http.MethodPost, b.URL+"/v1/chat/completions", r)
	if err != nil {
		t.Fatal(err)
	}
	q.Header.Set("Authorization", "Bearer "+token)
	a, err := http.DefaultClient.Do(q)
	if err != nil {
		if errors.Is(err, io.EOF) {
			return
		}
		t.Fatal(err)
	}
	defer a.Body.Close()
	if a.StatusCode != http.StatusRequestTimeout {
		t.Fatalf("status %d", a.StatusCode)
	}
}

// An instance that lost its lease lists only its own address, since the others
// may have left without its knowledge.
func TestAddressesWithoutLease(t *testing.T) {
	v := modelState()
	v.Members = []state.Member{
		{Name: "entry1", Kind: state.MemberEntry, URL: "http://a", Centre: "north", Phase: state.PhaseServing},
		{Name: "entry2", Kind: state.MemberEntry, URL: "http://b", Centre: "north", Phase: state.PhaseServing},
	}
	b := newTestEntry(t, v)
	for _, c := range []struct {
		dropped bool
		both    bool
	}{{false, true}, {true, false}} {
		b.lease.dropped.Store(c.dropped)
		body, err := io.ReadAll(b.send(t, http.MethodGet, "/address", "").Body)
		if err != nil {
			t.Fatal(err)
		}
		if !strings.Contains(string(body), "http://a") || strings.Contains(string(body), "http://b") != c.both {
			t.Fatalf("lease dropped %t: address answer %s", c.dropped, body)
		}
	}
	if b.meter.Value("address", "alone") != 1 {
		t.Fatal("the answer without a lease was not counted")
	}
}
