package lead

import (
	"maps"
	"time"

	"k8s.io/klog/v2"

	"verbenahaven.example/core/version/plan"
)

// maxSilence is how long an engine whose reports fail still counts for the planner. Its
// streams may go on meanwhile: a path may lose everything for over two seconds and come
// back, and connections survive four. Entry instances leave it at once by what they see.
const maxSilence = 4 * time.Second

// retainHeard removes the times of reports of engines that aren't listed any more. The
// mutex must be locked.
func (l *Leader) retainHeard(listed map[string]string) {
	maps.DeleteFunc(l.heardAt, func(engine string, _ time.Time) bool { return listed[engine] == "" })
}

// silentFor returns the time since an engine's latest report, and whether there is one.
// The mutex must be locked.
func (l *Leader) silentFor(engine string, now time.Time) (time.Duration, bool) {
	at, found := l.heardAt[engine]
	return now.Sub(at), found
}

// mayChangeRole reports whether an order of the planner may be opened: not for an engine
// that is silent, which can't be asked whether it drained.
func (l *Leader) mayChangeRole(c plan.RoleChange) bool {
	alive := false
	_ = l.withLease(func(time.Duration, uint64) {
		r, heard := l.roster.Report(c.Engine)
		alive = heard && r.Alive
	})
	if !alive {
		l.meter.Count("plan", "silent")
		klog.InfoS("role change put off: the engine is silent", "engine", c.Engine, "role", c.Role)
	}
	return alive
}
