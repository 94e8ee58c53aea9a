package lang

import (
	"time"

	"verbenahaven.example/core/version/state"
)

// nounTables holds the table of each noun that ask accepts. The first column
// identifies the object.
var nounTables = map[state.Noun]nounTable{
	state.NounService: typedTable[state.Service]{
		list: func(d Data) []state.Service { return d.View.Services },
		columns: []column[state.Service]{
			textColumn("name", func(o state.Service) string { return o.Name }),
			textColumn("kind", func(o state.Service) state.ServiceKind { return o.Kind }),
			textColumn("model", func(o state.Service) string { return o.Model }),
			textColumn("adapter", func(o state.Service) string { return o.Adapter }),
			textColumn("revision", func(o state.Service) string { return o.Revision }),
			textColumn("class", func(o state.Service) state.Class { return o.Class }),
			durationColumn("deadline", func(o state.Service) time.Duration { return o.Deadline }),
			durationColumn("first", func(o state.Service) time.Duration { return o.FirstTokenDeadline }),
			boolColumn("once", func(o state.Service) bool { return o.AtMostOnce }),
			numberColumn("version", func(o state.Service) uint64 { return o.Version }),
		},
	},
	state.NounModel: typedTable[state.Model]{
		list: func(d Data) []state.Model { return d.View.Models },
		columns: []column[state.Model]{
			textColumn("name", func(o state.Model) string { return o.Name }),
			textColumn("revision", func(o state.Model) string { return o.Revision }),
			listColumn("adapters", func(o state.Model) []string { return o.Adapters }),
			numberColumn("version", func(o state.Model) uint64 { return o.Version }),
		},
	},
	state.NounEngine: typedTable[state.Engine]{
		list: func(d Data) []state.Engine { return d.View.Engines },
		columns: []column[state.Engine]{
			textColumn("name", func(o state.Engine) string { return o.Name }),
			textColumn("url", func(o state.Engine) string { return o.URL }),
			textColumn("centre", func(o state.Engine) string { return o.Centre }),
			textColumn("role", func(o state.Engine) state.Role { return o.Role }),
			textColumn("model", func(o state.Engine) string { return o.Model }),
			textColumn("adapter", func(o state.Engine) string { return o.Adapter }),
			textColumn("revision", func(o state.Engine) string { return o.Revision }),
			textColumn("build", func(o state.Engine) string { return o.Build }),
			textColumn("phase", func(o state.Engine) state.Phase { return o.Phase }),
			boolColumn("fenced", func(o state.Engine) bool { return o.ChecksFencing }),
			numberColumn("version", func(o state.Engine) uint64 { return o.Version }),
		},
	},
	state.NounServer: typedTable[state.Server]{
		list: func(d Data) []state.Server { return d.View.Servers },
		columns: []column[state.Server]{
			textColumn("name", func(o state.Server) string { return o.Name }),
			textColumn("url", func(o state.Server) string { return o.URL }),
			textColumn("centre", func(o state.Server) string { return o.Centre }),
			textColumn("service", func(o state.Server) string { return o.Service }),
			textColumn("phase", func(o state.Server) state.Phase { return o.Phase }),
			numberColumn("version", func(o state.Server) uint64 { return o.Version }),
		},
	},
	state.NounAccount: typedTable[state.Account]{
		list: func(d Data) []state.Account { return d.View.Accounts },
		columns: []column[state.Account]{
			textColumn("name", func(o state.Account) string { return o.Name }),
			numberColumn("tokens", func(o state.Account) uint64 { return o.TokensPerSecond }),
			numberColumn("requests", func(o state.Account) uint64 { return o.RequestsPerSecond }),
			boolColumn("operator", func(o state.Account) bool { return o.Operator }),
			numberColumn("version", func(o state.Account) uint64 { return o.Version }),
		},
	},
	state.NounMember: typedTable[state.Member]{
		list: func(d Data) []state.Member { return d.View.Members },
		columns: []column[state.Member]{
			textColumn("name", func(o state.Member) string { return o.Name }),
			textColumn("kind", func(o state.Member) state.MemberKind { return o.Kind }),
			textColumn("url", func(o state.Member) string { return o.URL }),
			textColumn("link", func(o state.Member) string { return o.LinkAddress }),
			textColumn("centre", func(o state.Member) string { return o.Centre }),
			textColumn("phase", func(o state.Member) state.Phase { return o.Phase }),
			numberColumn("version", func(o state.Member) uint64 { return o.Version }),
		},
	},
	state.NounStrike: typedTable[state.Strike]{
		list: func(d Data) []state.Strike { return d.View.Strikes },
		columns: []column[state.Strike]{
			textColumn("fingerprint", func(o state.Strike) string { return o.Fingerprint }),
			listColumn("engines", func(o state.Strike) []string { return o.LostEngines }),
			timeColumn("until", func(o state.Strike) time.Time { return o.ExpiresAt }),
			numberColumn("version", func(o state.Strike) uint64 { return o.Version }),
		},
	},
	state.NounOrder: typedTable[state.Order]{
		list: func(d Data) []state.Order { return d.Orders },
		columns: []column[state.Order]{
			numberColumn("number", func(o state.Order) uint64 { return o.Number }),
			textColumn("engine", func(o state.Order) string { return o.Engine }),
			numberColumn("fence", func(o state.Order) uint64 { return o.FencingToken }),
			textColumn("role", func(o state.Order) state.Role { return o.Role }),
			textColumn("model", func(o state.Order) string { return o.Model }),
			textColumn("adapter", func(o state.Order) string { return o.Adapter }),
			textColumn("revision", func(o state.Order) string { return o.Revision }),
			textColumn("reason", func(o state.Order) string { return o.Reason }),
			textColumn("status", func(o state.Order) string { return o.Status }),
			timeColumn("at", func(o state.Order) time.Time { return o.OpenedAt }),
		},
	},
	state.NounDecision: typedTable[state.Decision]{
		list: func(d Data) []state.Decision { return d.Decisions },
		columns: []column[state.Decision]{
			numberColumn("number", func(o state.Decision) uint64 { return o.Number }),
			timeColumn("at", func(o state.Decision) time.Time { return o.At }),
			textColumn("engine", func(o state.Decision) string { return o.Engine }),
			textColumn("saw", func(o state.Decision) string { return o.Observed }),
			textColumn("weighed", func(o state.Decision) string { return o.Considered }),
			textColumn("chose", func(o state.Decision) string { return o.Chosen }),
		},
	},
}
