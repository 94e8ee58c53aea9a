package lead

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strconv"

	"k8s.io/klog/v2"

	"verbenahaven.example/core/conn/link"
	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/version/lang"
	"verbenahaven.example/core/version/ledger"
	"verbenahaven.example/core/version/state"
	"verbenahaven.example/core/version/store"
)

// CodeDenied is the error code for commands from an account that isn't an
// operator's.
const CodeDenied = "denied"

// RunCommands executes a text in the operators' command language. Its changes
// are applied first, all of them or none, then its queries are answered.
func (l *Leader) RunCommands(ctx context.Context, peer string, q proto.RunRequest) (proto.RunReply, error) {
	if _, keeper := l.settings.Peers[peer]; !keeper {
		return proto.RunReply{}, l.badRequest("peer")
	}
	var operator state.Account
	l.readState(func(s *state.State, _ *ledger.Ledger) { operator, _ = s.Account(q.Operator) })
	if !operator.Operator {
		return proto.RunReply{}, &link.RemoteError{Code: CodeDenied, Detail: "no operator account"}
	}
	statements, err := lang.Parse(q.Text)
	if err != nil {
		return proto.RunReply{}, &link.RemoteError{Code: string(state.CodeInvalid), Detail: err.Error()}
	}
	outcome, err := l.applyChanges(ctx, q, statements)
	if err != nil {
		return proto.RunReply{}, err
	}
	return l.answerStatements(ctx, statements, outcome)
}

func (l *Leader) applyChanges(ctx context.Context, q proto.RunRequest, statements []lang.Statement) (state.Outcome, error) {
	u := state.Update{Operator: q.Operator, Number: q.Number, ExpectedVersion: q.ExpectedVersion}
	for _, s := range statements {
		if c, ok := s.Change(); ok {
			u.Changes = append(u.Changes, c)
		}
	}
	if len(u.Changes) == 0 {
		return state.Outcome{}, nil
	}
	outcome, err := propose[state.Outcome](ctx, l, store.Command{Update: &u})
	if err != nil {
		return outcome, err
	}
	if outcome.Code != state.CodeAccepted {
		l.meter.Count("run", "refused", string(outcome.Code))
		return outcome, &link.RemoteError{Code: string(outcome.Code), Detail: outcome.Text}
	}
	if outcome.Replayed {
		l.meter.Count("run", "repeated")
		return outcome, nil
	}
	l.meter.Count("run", "accepted")
	klog.Infof("command %d of %s made version %d", q.Number, q.Operator, outcome.Version)
	return outcome, nil
}

// answerStatements returns a table for each statement.
func (l *Leader) answerStatements(ctx context.Context, statements []lang.Statement, outcome state.Outcome) (proto.RunReply, error) {
	if err := l.log.Barrier(ctx); err != nil {
		if outcome.Version == 0 {
			return proto.RunReply{}, l.remoteError(err)
		}
		// The changes are committed; only the answers to the queries are
		// missing.
		return proto.RunReply{}, &link.RemoteError{Code: link.CodeInternal, Detail: "outcome unknown: " + err.Error()}
	}
	data := lang.Data{View: l.store.View(0)}
	l.readState(func(s *state.State, _ *ledger.Ledger) {
		data.Orders = slices.Concat(s.ClosedOrders(), s.OpenOrders())
		data.Decisions = s.Decisions()
	})
	reply := proto.RunReply{Version: data.View.Version}
	if outcome.Version > 0 {
		reply.Version = outcome.Version
	}
	for _, s := range statements {
		t, err := l.statementTable(data, s, outcome)
		if err != nil && outcome.Version == 0 {
			return proto.RunReply{}, &link.RemoteError{Code: string(state.CodeInvalid), Detail: fmt.Sprintf("line %d: %v", s.Line(), err)}
		}
		if err != nil {
			// The changes are committed, so this must not look like a refusal.
			t = proto.Table{Columns: []string{"error"}, Rows: [][]string{{err.Error()}}}
		}
		reply.Tables = append(reply.Tables, t)
	}
	return reply, nil
}

func (l *Leader) statementTable(data lang.Data, s lang.Statement, outcome state.Outcome) (proto.Table, error) {
	if c, ok := s.Change(); ok {
		return proto.Table{
			Columns: []string{"verb", "noun", "name", "version"},
			Rows:    [][]string{{string(c.Verb), string(c.Noun), c.Name, strconv.FormatUint(outcome.Version, 10)}},
		}, nil
	}
	answer := lang.Ask
	if s.Verb() == lang.VerbExplain {
		answer = lang.Explain
	}
	t, err := answer(data, s)
	if err != nil {
		return t, fmt.Errorf("answer: %w", err)
	}
	return t, nil
}

// Refusal returns the code and text of an error of RunCommands, and reports
// whether the commands certainly had no effect. False means that the outcome is
// unknown.
func Refusal(err error) (*link.RemoteError, bool) {
	var r *link.RemoteError
	if !errors.As(err, &r) {
		return nil, false
	}
	return r, r.Code != link.CodeInternal
}
