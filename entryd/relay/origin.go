package relay

import (
	"cmp"
	"context"
	"time"

	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/request/origin"
)

// streamMemory is how long callers may take up a stream that broke off, at least.
const streamMemory = 30 * time.Second

// streamID returns the ID under which the origin of the call's stream is known.
func (f *inflightCall) streamID() string {
	if f.resumes() {
		return cmp.Or(f.call.Resumes, f.call.ID)
	}
	return f.call.ID
}

// resumes reports whether the caller takes up a stream that broke off.
func (f *inflightCall) resumes() bool { return f.route.Resumable && f.call.LastEventID != "" }

// streamAge returns the age that the call's stream can't exceed.
func (f *inflightCall) streamAge() time.Duration {
	return max(streamMemory, f.route.Timeout, f.call.TimeLeft)
}

// resolveOrigin determines the build at which a stream that the caller takes up
// must go on, and the pool. It returns false if it can't be known; then going on
// might mix the events of two builds.
func (f *inflightCall) resolveOrigin(ctx context.Context) bool {
	if !f.resumes() {
		return true
	}
	o, how := f.fleet.findOrigin(ctx, f.call.Resumes, f.targetPool.Name, f.streamAge())
	f.meter.Count("origin", how)
	if o == nil {
		return false
	}
	if o.Pool != f.targetPool.Name {
		table := f.snapshot.Routing()
		pool, listed := table.Pool(o.Pool)
		if !listed || !f.route.Allows(o.Pool) {
			return true // another service goes on with it
		}
		f.targetPool = pool
	}
	f.build = &o.Build
	return true
}

// recordOrigin records that a backend server of a build sends events of the call's
// stream: no other build may go on with it.
func (f *inflightCall) recordOrigin(build string) {
	if !f.route.Resumable {
		return
	}
	f.build = &build
	f.fleet.recordOrigin(f.clock.Now(), proto.StreamOrigin{
		ID: f.streamID(), Pool: f.targetPool.Name, Build: build, Left: f.streamAge(),
	})
}

// findOrigin returns the origin of a stream in a pool, or nil, and where it was
// found. The ID is empty if the caller names no stream. No stream is older than
// within. The holders are asked even if one build is
// known here: others may know of another one sooner.
func (f *Fleet) findOrigin(ctx context.Context, id, pool string, within time.Duration) (o *proto.StreamOrigin, how string) {
	asked := f.clock.Elapsed()
	f.mutex.Lock()
	known, found := f.origins.Find(f.clock.Now(), id)
	_, sole := f.soleBuild(pool, within)
	links := f.holderLinks(id)
	f.mutex.Unlock()
	if found {
		return &known, "known"
	}
	if id != "" {
		if o = f.broker.Find(ctx, links, id); o != nil {
			return o, "found"
		}
	}
	if !sole {
		return nil, "unknown"
	}
	return f.confirmSoleBuild(ctx, asked, id, pool, within)
}

// confirmSoleBuild returns the origin of a stream that began before an elapsed time, if
// one build only has served in its pool. Until a confirmation from then on, the stream
// may be of a build of which other instances know and this one doesn't.
func (f *Fleet) confirmSoleBuild(
	ctx context.Context, since time.Duration, id, pool string, within time.Duration,
) (o *proto.StreamOrigin, how string) {
	if !f.awaitConfirmation(ctx, since) {
		return nil, "unconfirmed"
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	build, sole := f.soleBuild(pool, within)
	if !sole {
		return nil, "unknown"
	}
	return &proto.StreamOrigin{ID: id, Pool: pool, Build: build}, "sole_build"
}

// soleBuild returns the only build that has served in a pool for some time, as far
// as this instance can know. The caller holds the mutex.
func (f *Fleet) soleBuild(pool string, within time.Duration) (string, bool) {
	build, sole := f.builds.Sole(f.clock.Now(), pool, within)
	return build, sole && f.confirmed.recent(f.clock.Elapsed())
}

// recordOrigin keeps the origin of a stream and tells its holders, also while one build
// serves: another one may begin to at any moment, and this instance may be lost or stand
// still before it hears of that.
func (f *Fleet) recordOrigin(now time.Time, o proto.StreamOrigin) {
	f.mutex.Lock()
	if !f.origins.Begin(now, o) {
		f.meter.Count("origin", "no_room")
	}
	links := f.holderLinks(o.ID)
	f.mutex.Unlock()
	for _, link := range links {
		f.broker.Share(link, []proto.StreamOrigin{o})
	}
	f.meter.Add(int64(len(links)), "origin", "told")
}

// tellOrigins tells the holders of streams their origins once more: they may be others than
// when the streams began. The caller holds the mutex.
func (f *Fleet) tellOrigins(list []proto.StreamOrigin) {
	byLink := make(map[string][]proto.StreamOrigin)
	for _, o := range list {
		for _, link := range f.holderLinks(o.ID) {
			byLink[link] = append(byLink[link], o)
		}
	}
	for link, origins := range byLink {
		f.broker.Share(link, origins)
		f.meter.Add(int64(len(origins)), "origin", "told")
	}
}

// holderLinks returns the link addresses of the other instances that are told of a
// stream. The caller holds the mutex.
func (f *Fleet) holderLinks(id string) []string {
	var links []string
	for _, m := range origin.Holders(f.snapshot.LiveEntries(), id) {
		if m.Name != f.name {
			links = append(links, m.LinkAddress)
		}
	}
	return links
}

// Remember records the origins of streams of other instances. It implements
// broker.Handler.
func (f *Fleet) Remember(origins []proto.StreamOrigin) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	now := f.clock.Now()
	for _, o := range origins {
		if !f.origins.Record(now, o) {
			f.meter.Count("origin", "no_room")
		}
	}
}

// Origin returns the origin of a stream. It implements broker.Handler.
func (f *Fleet) Origin(id string) (proto.StreamOrigin, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.origins.Find(f.clock.Now(), id)
}
