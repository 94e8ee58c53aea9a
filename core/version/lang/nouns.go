package lang

import (
	"time"

	"verbenahaven.example/core/version/state"
)

// sheets holds the table of each noun that can be asked for. The first column
// is the name of the object.
var sheets = map[state.Noun]sheet{
	state.NounService: table[state.Service]{
		list: func(d Data) []state.Service { return d.View.Services },
		columns: []column[state.Service]{
			text("name", func(o state.Service) string { return o.Name }),
			text("kind", func(o state.Service) state.ServiceKind { return o.Kind }),
			text("model", func(o state.Service) string { return o.Model }),
			text("adapter", func(o state.Service) string { return o.Adapter }),
			text("revision", func(o state.Service) string { return o.Revision }),
			text("class", func(o state.Service) state.Class { return o.Class }),
			duration("deadline", func(o state.Service) time.Duration { return o.Deadline }),
			duration("first", func(o state.Service) time.Duration { return o.First }),
			flag("once", func(o state.Service) bool { return o.Once }),
			number("version", func(o state.Service) uint64 { return o.Version }),
		},
	},
	state.NounModel: table[state.Model]{
		list: func(d Data) []state.Model { return d.View.Models },
		columns: []column[state.Model]{
			text("name", func(o state.Model) string { return o.Name }),
			text("revision", func(o state.Model) string { return o.Revision }),
			list("adapters", func(o state.Model) []string { return o.Adapters }),
			number("version", func(o state.Model) uint64 { return o.Version }),
		},
	},
	state.NounEngine: table[state.Engine]{
		list: func(d Data) []state.Engine { return d.View.Engines },
		columns: []column[state.Engine]{
			text("name", func(o state.Engine) string { return o.Name }),
			text("url", func(o state.Engine) string { return o.URL }),
			text("centre", func(o state.Engine) string { return o.Centre }),
			text("role", func(o state.Engine) state.Role { return o.Role }),
			text("model", func(o state.Engine) string { return o.Model }),
			text("adapter", func(o state.Engine) string { return o.Adapter }),
			text("revision", func(o state.Engine) string { return o.Revision }),
			text("phase", func(o state.Engine) state.Phase { return o.Phase }),
			flag("fenced", func(o state.Engine) bool { return o.Fenced }),
			number("version", func(o state.Engine) uint64 { return o.Version }),
		},
	},
	state.NounServer: table[state.Server]{
		list: func(d Data) []state.Server { return d.View.Servers },
		columns: []column[state.Server]{
			text("name", func(o state.Server) string { return o.Name }),
			text("url", func(o state.Server) string { return o.URL }),
			text("centre", func(o state.Server) string { return o.Centre }),
			text("service", func(o state.Server) string { return o.Service }),
			text("phase", func(o state.Server) state.Phase { return o.Phase }),
			number("version", func(o state.Server) uint64 { return o.Version }),
		},
	},
	state.NounAccount: table[state.Account]{
		list: func(d Data) []state.Account { return d.View.Accounts },
		columns: []column[state.Account]{
			text("name", func(o state.Account) string { return o.Name }),
			number("tokens", func(o state.Account) uint64 { return o.Tokens }),
			number("requests", func(o state.Account) uint64 { return o.Requests }),
			flag("operator", func(o state.Account) bool { return o.Operator }),
			number("version", func(o state.Account) uint64 { return o.Version }),
		},
	},
	state.NounMember: table[state.Member]{
		list: func(d Data) []state.Member { return d.View.Members },
		columns: []column[state.Member]{
			text("name", func(o state.Member) string { return o.Name }),
			text("kind", func(o state.Member) state.MemberKind { return o.Kind }),
			text("url", func(o state.Member) string { return o.URL }),
			text("link", func(o state.Member) string { return o.Link }),
			text("centre", func(o state.Member) string { return o.Centre }),
			text("phase", func(o state.Member) state.Phase { return o.Phase }),
			number("version", func(o state.Member) uint64 { return o.Version }),
		},
	},
	state.NounStrike: table[state.Strike]{
		list: func(d Data) []state.Strike { return d.View.Strikes },
		columns: []column[state.Strike]{
			text("fingerprint", func(o state.Strike) string { return o.Fingerprint }),
			list("engines", func(o state.Strike) []string { return o.Engines }),
			moment("until", func(o state.Strike) time.Time { return o.Until }),
			number("version", func(o state.Strike) uint64 { return o.Version }),
		},
	},
	state.NounOrder: table[state.Order]{
		list: func(d Data) []state.Order { return d.Orders },
		columns: []column[state.Order]{
			number("number", func(o state.Order) uint64 { return o.Number }),
			text("engine", func(o state.Order) string { return o.Engine }),
			number("fence", func(o state.Order) uint64 { return o.Fence }),
			text("role", func(o state.Order) state.Role { return o.Role }),
			text("model", func(o state.Order) string { return o.Model }),
			text("adapter", func(o state.Order) string { return o.Adapter }),
			text("revision", func(o state.Order) string { return o.Revision }),
			text("reason", func(o state.Order) string { return o.Reason }),
			text("status", func(o state.Order) string { return o.Status }),
			moment("at", func(o state.Order) time.Time { return o.At }),
		},
	},
	state.NounDecision: table[state.Decision]{
		list: func(d Data) []state.Decision { return d.Decisions },
		columns: []column[state.Decision]{
			number("number", func(o state.Decision) uint64 { return o.Number }),
			moment("at", func(o state.Decision) time.Time { return o.At }),
			text("engine", func(o state.Decision) string { return o.Engine }),
			text("saw", func(o state.Decision) string { return o.Saw }),
			text("weighed", func(o state.Decision) string { return o.Weighed }),
			text("chose", func(o state.Decision) string { return o.Chose }),
		},
	},
}
