package pool

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"

	"verbenahaven.example/core/conn/brief"
	"verbenahaven.example/core/conn/engine"
)

// ErrOtherExchange reports that a response belongs to another request.
var ErrOtherExchange = errors.New("the answer belongs to another request")

// Do sends a request over a pooled connection, if its server names exchanges in its
// responses, else over a new one. It doesn't follow redirects. A server may send a
// response twice, the copy just after the next request was written; the name of the
// exchange is all that tells it from the response to that request.
func (p *Pool) Do(r *http.Request) (*http.Response, error) {
	name := strconv.FormatUint(p.exchanges.Add(1), 10)
	r.Header.Set(engine.HeaderExchange, name)
	if !p.names(r.URL.Host) {
		resp, _, err := p.DoUnpooled(r)
		if err == nil {
			p.setNames(r.URL.Host, resp.Header.Get(engine.HeaderExchange) == name)
		}
		return resp, err
	}
	resp, unused, err := p.doPooled(r)
	if unused {
		resp, _, err = p.DoUnpooled(r)
	}
	if err != nil {
		return nil, err
	}
	if resp.Header.Get(engine.HeaderExchange) != name {
		p.setNames(r.URL.Host, false)
		_ = resp.Body.Close()
		p.Discard(r.URL.Host)
		return nil, fmt.Errorf("ask %s: %w", r.URL.Host, ErrOtherExchange)
	}
	return resp, nil
}

// doPooled sends a request over a pooled connection, once. unused reports that it was lost
// before any byte was written to it.
func (p *Pool) doPooled(r *http.Request) (resp *http.Response, unused bool, err error) {
	var gotConn atomic.Pointer[conn]
	check := sendCheck(r.Context())
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		if c, ok := i.Conn.(*conn); ok {
			c.begin(check)
			gotConn.Store(c)
		}
	}}
	q := r.WithContext(httptrace.WithClientTrace(r.Context(), trace))
	makeUnrepeatable(q)
	resp, err = p.transport(r.URL.Host).RoundTrip(q)
	if err != nil {
		c := gotConn.Load()
		unused = c != nil && c.forbidden == nil && !c.written.Load() && r.Context().Err() == nil
		return nil, unused && rewind(r), fmt.Errorf("ask %s: %w", r.URL.Host, withCause(r.Context(), brief.Error(c.cause(err))))
	}
	return resp, false, nil
}

// makeUnrepeatable keeps a transport from sending a request again. It does so with idempotent
// methods if a kept connection ends before the response: a server that crashes under the
// request looks to it like one that has closed an idle connection. It can't repeat a body
// without GetBody.
func makeUnrepeatable(r *http.Request) {
	if r.Method != http.MethodGet && r.Method != http.MethodHead {
		return
	}
	r.GetBody = nil
	if r.Body == nil || r.Body == http.NoBody {
		r.Body = io.NopCloser(strings.NewReader(""))
	}
}

// rewind makes a request's body readable from its start, and reports whether it could.
func rewind(r *http.Request) bool {
	if r.Body == nil || r.Body == http.NoBody {
		return true
	}
	if r.GetBody == nil {
		return false
	}
	b, err := r.GetBody()
	if err == nil {
		r.Body = b
	}
	return err == nil
}

func (p *Pool) names(host string) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.naming[host]
}

func (p *Pool) setNames(host string, names bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if names {
		p.naming[host] = true
	} else {
		delete(p.naming, host)
	}
}
