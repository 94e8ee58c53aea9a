package front

import (
	"encoding/json"
	"net/http"

	"github.com/emicklei/go-restful/v3"

	"verbenahaven.example/core/version/state"
	"verbenahaven.example/entryd/fault"
)

func (f *API) writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(v); err != nil {
		f.meter.Count("answer", "unwritten")
	}
}

// address serves the list of instances that callers should use, and how long
// they may cache it.
func (f *API) address(_ *restful.Request, w *restful.Response) {
	v := f.balancer.Snapshot()
	if err := f.checkReady(v); err != nil {
		fault.Write(w, f.meter, err)
		return
	}
	type address struct {
		URL    string `json:"url"`
		Centre string `json:"centre"`
	}
	var answer struct {
		Addresses []address `json:"addresses"`
		Life      int64     `json:"life_ms"`
	}
	skip := ""
	if f.isLeaving() {
		skip = f.settings.Name
	}
	for _, m := range SelectAddresses(f.knownEntries(v.LiveEntries()), f.settings.Centre, skip, f.settings.MaxAddresses, f.addressTurn.Add(1)) {
		answer.Addresses = append(answer.Addresses, address{URL: m.URL, Centre: m.Centre})
	}
	answer.Life = f.settings.AddressTTL.Milliseconds()
	f.writeJSON(w, answer)
}

// knownEntries returns the members, or only this instance while it has no
// lease: the others may have left since it last heard of them.
func (f *API) knownEntries(members []state.Member) []state.Member {
	if f.lease.HoldsLease() {
		return members
	}
	f.meter.Count("address", "alone")
	for _, m := range members {
		if m.Name == f.settings.Name {
			return []state.Member{m}
		}
	}
	return nil
}

// SelectAddresses returns the serving instances of an address answer, those of
// the data centre first. Both groups are rotated by turn, so that over
// successive answers each instance comes first equally often.
func SelectAddresses(members []state.Member, centre, skip string, count int, turn uint64) []state.Member {
	var local, remote []state.Member
	for _, m := range members {
		switch {
		case m.Phase != state.PhaseServing || m.Name == skip || m.URL == "":
		case m.Centre == centre:
			local = append(local, m)
		default:
			remote = append(remote, m)
		}
	}
	list := append(rotate(local, turn), rotate(remote, turn)...)
	return list[:min(count, len(list))]
}

func rotate(list []state.Member, turn uint64) []state.Member {
	if len(list) == 0 {
		return nil
	}
	n := int(turn % uint64(len(list)))
	return append(append([]state.Member{}, list[n:]...), list[:n]...)
}

func (f *API) models(r *restful.Request, w *restful.Response) {
	v := f.balancer.Snapshot()
	if _, err := authenticate(r.Request, v); err != nil {
		fault.Write(w, f.meter, err)
		return
	}
	type model struct {
		ID     string `json:"id"`
		Object string `json:"object"`
		Owner  string `json:"owned_by"`
	}
	list := []model{}
	for _, s := range v.Services() {
		if s.Kind == state.KindModel {
			list = append(list, model{ID: s.Name, Object: "model", Owner: s.Model})
		}
	}
	for _, m := range v.Models() {
		list = append(list, model{ID: m.Name, Object: "model", Owner: m.Name})
	}
	f.writeJSON(w, struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}{"list", list})
}

func (f *API) health(_ *restful.Request, w *restful.Response) {
	if err := f.checkReady(f.balancer.Snapshot()); err != nil {
		fault.Write(w, f.meter, err)
		return
	}
	f.writeJSON(w, struct {
		Status string `json:"status"`
	}{"ok"})
}

func (f *API) metrics(r *restful.Request, w *restful.Response) {
	f.meter.ServeHTTP(w.ResponseWriter, r.Request)
}

func (f *API) status(_ *restful.Request, w *restful.Response) {
	version, settled := f.balancer.Versions()
	phase := state.PhaseServing
	if f.isLeaving() {
		phase = state.PhaseLeaving
	}
	f.writeJSON(w, struct {
		Name     string      `json:"name"`
		Centre   string      `json:"centre"`
		Phase    state.Phase `json:"phase"`
		Version  uint64      `json:"version"`
		Settled  uint64      `json:"settled"`
		Age      int64       `json:"age_ms"`
		Stale    bool        `json:"stale"`
		Isolated bool        `json:"isolated"`
		Leader   string      `json:"leader"`
		Source   string      `json:"source"`
	}{
		f.settings.Name, f.settings.Centre, phase, version, settled, f.watch.Age().Milliseconds(), f.watch.Stale(),
		f.watch.Isolated(f.clock.Elapsed()), f.watch.Leader(), f.watch.Source(),
	})
}

// explain serves the trace of a request to the account that made it and to
// operators.
func (f *API) explain(r *restful.Request, w *restful.Response) {
	caller, err := authenticate(r.Request, f.balancer.Snapshot())
	if err != nil {
		fault.Write(w, f.meter, err)
		return
	}
	record, ok := f.trail.Find(r.QueryParameter("request"))
	if !ok || (!caller.Operator && record.Account != caller.Name) {
		fault.Write(w, f.meter, fault.New(fault.CodeUnknownRequest, "no record of this request is kept here"))
		return
	}
	f.writeJSON(w, record)
}
