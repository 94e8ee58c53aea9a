package lead

import (
	"math"
	"slices"

	"k8s.io/klog/v2"

	"verbenahaven.example/core/conn/proto"
)

const (
	// maxValue bounds rates and counts in heartbeats: sums over all instances must neither
	// overflow nor lose their smaller terms.
	maxValue = 1e12
	// maxHeartbeatItems bounds the lists in a heartbeat.
	maxHeartbeatItems = 10_000
)

// dropInvalid removes impossible values from a heartbeat, such as a rate that isn't a
// number, and counts them. The heartbeat itself remains valid: its sender is alive, and its
// requests continue.
func (l *Leader) dropInvalid(q *proto.HeartbeatRequest) {
	dropped := 0
	q.Demand = keepValid(q.Demand, &dropped, func(d proto.Demand) bool {
		return validName(d.Service) && validValues(d.RequestRate, d.PrefillRate, d.DecodeRate, d.RefusalRate)
	})
	q.Reports = keepValid(q.Reports, &dropped, func(p proto.Report) bool {
		return validName(p.Engine) && validValues(float64(p.Running), float64(p.Waiting), float64(p.PrefillQueueTokens), p.KVUsage, p.PrefillRate,
			float64(p.MaxBatch), p.TPOT.Seconds(), p.PrefillDelay.Seconds(), p.StartTime.Seconds(), p.Age.Seconds())
	})
	q.OwnWork = keepValid(q.OwnWork, &dropped, func(w proto.EngineWork) bool {
		return validName(w.Engine) && validValues(float64(w.PrefillTokens), float64(w.Streams), float64(w.LongStreams), float64(w.KVTokens),
			float64(w.DeferredTokens), float64(w.DeferredStreams))
	})
	q.Speeds = keepValid(q.Speeds, &dropped, func(s proto.EngineSpeed) bool {
		return validName(s.Engine) && validValues(s.Prefills, s.Tokens, s.Seconds, s.TokensSquared, s.TokensSeconds, s.Starts, s.StartSeconds)
	})
	q.Limits = keepValid(q.Limits, &dropped, func(s proto.ServerLimit) bool {
		return validName(s.Server) && validValues(s.Rate, s.Age.Seconds())
	})
	q.Notices = keepValid(q.Notices, &dropped, func(n proto.ServerNotice) bool {
		return validName(n.Server) && len(n.Start) <= maxTextBytes && validValues(n.Age.Seconds())
	})
	if dropped > 0 {
		l.meter.Count("heartbeat", "invalid")
		klog.InfoS("values of a heartbeat dropped", "member", q.Member.Name, "values", dropped)
	}
}

// keepValid returns the valid items of a list and adds the number of the others.
func keepValid[T any](list []T, dropped *int, valid func(T) bool) []T {
	n := len(list)
	list = slices.DeleteFunc(list[:min(n, maxHeartbeatItems)], func(v T) bool { return !valid(v) })
	*dropped += n - len(list)
	return list
}

func validName(name string) bool { return name != "" && len(name) <= maxTextBytes }

func validValues(list ...float64) bool {
	return !slices.ContainsFunc(list, func(v float64) bool { return math.IsNaN(v) || v < 0 || v > maxValue })
}
