package keeper

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"verbenahaven.example/core/conn/link"
)

// leaveWatched makes the next watch go to another keeper, if possible the one that the watched
// one named.
func (c *Client) leaveWatched(name string, err error) {
	var remote *link.RemoteError
	directed := errors.As(err, &remote) && remote.Code == link.CodeNotLeader
	if directed && c.followHint(remote.Detail) {
		return
	}
	c.advance()
	if c.dynamic && !directed {
		c.markUnresponsive(name)
	}
}

// watchTarget returns the keeper for the next watch: the presumed leader if the
// client is dynamic and presumes one, else the next keeper in turn.
func (c *Client) watchTarget() string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.dynamic && c.leader != "" {
		return c.leader
	}
	if len(c.names) == 0 {
		return ""
	}
	return c.names[c.next%len(c.names)]
}

func (c *Client) advance() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.moveOn()
}

// moveOn goes on to the next keeper. The mutex must be held.
func (c *Client) moveOn() { c.next, c.asks = c.next+1, 0 }

// callTarget returns the presumed leader, or else the keeper to ask for it: always the same
// as long as it answers, since each other one costs both ends a connection. If all are
// marked as unresponsive it returns one of them, and "" if none is known.
func (c *Client) callTarget() string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if name := c.presumedLeader(); name != "" {
		return name
	}
	if len(c.names) == 0 {
		return ""
	}
	if c.asks >= maxAsks {
		c.moveOn()
	}
	for range c.names {
		if name := c.names[c.next%len(c.names)]; !c.isUnresponsive(name) {
			return name
		}
		c.moveOn()
	}
	c.moveOn()
	return c.names[c.next%len(c.names)]
}

// presumedLeader returns the presumed leader, "" if there is none. The mutex must be held.
func (c *Client) presumedLeader() string {
	if c.known != nil {
		if name := c.known(); name != "" && name != c.deposed && !c.isUnresponsive(name) {
			c.add(name, name)
			return name
		}
	}
	return c.leader
}

// joinSearch returns once a leader is presumed or, with true, the caller is the only one that
// looks for it. A caller that is already looking goes on until a leader is presumed.
func (c *Client) joinSearch(ctx context.Context, searching bool) (bool, error) {
	if !searching {
		if c.hasLeader() {
			return false, nil
		}
		select {
		case c.search <- struct{}{}:
		case <-ctx.Done():
			c.mutex.Lock()
			defer c.mutex.Unlock()
			return false, fmt.Errorf("another call looks for the leader: %w", errors.Join(c.failure, ctx.Err()))
		}
	}
	if c.hasLeader() {
		c.endSearch()
		return false, nil
	}
	return true, nil
}

// endSearch lets the next call look for the leader, or call it.
func (c *Client) endSearch() { <-c.search }

func (c *Client) hasLeader() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.presumedLeader() != ""
}

func (c *Client) isUnresponsive(name string) bool {
	return time.Now().Before(c.skipUntil[name])
}

// followHint presumes that a keeper named by another one leads, and reports whether it
// does. After a leader stops, the other keepers still name it until they have elected a new
// one, so an unresponsive keeper isn't accepted. With an empty name no leader is presumed.
func (c *Client) followHint(name string) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.dynamic && name != "" {
		c.add(name, name)
	}
	if _, ok := c.clients[name]; !ok || c.isUnresponsive(name) {
		name = ""
	}
	c.leader = name
	return name != ""
}

// confirmLeader records that a keeper served a call as leader.
func (c *Client) confirmLeader(name string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.skipUntil, name)
	c.leader, c.asks = name, 0
	if c.deposed == name {
		c.deposed = ""
	}
	c.backoff.Reset()
}

// markUnresponsive records that a keeper didn't answer.
func (c *Client) markUnresponsive(name string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.skipUntil[name] = time.Now().Add(skipPeriod)
	if c.leader == name {
		c.leader = ""
	}
}

// recordFailure takes what a failed attempt tells of the keeper, and returns how long to
// wait before the next one: not long if it names the leader, unless that named another one.
func (c *Client) recordFailure(ctx context.Context, name string, err error) time.Duration {
	var remote *link.RemoteError
	hinted := false
	switch answered := errors.As(err, &remote); {
	case answered && remote.Code == link.CodeNotLeader:
		leader := remote.Detail
		if leader == name {
			leader = "" // it has no majority at present, and the others may have elected another one
		}
		hinted = c.followHint(leader)
		c.recordNotLeader(name, hinted)
	case answered && remote.Code == link.CodeOverloaded:
		// Another keeper would only name this one again.
	case answered && remote.Code != link.CodeStopping, ctx.Err() != nil:
		c.followHint("")
		c.advance()
	default:
		c.markUnresponsive(name)
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.backoff.Fail()
	c.failure = err
	soon := hinted && !c.hinted
	c.hinted = hinted
	if soon {
		return time.Duration(rand.Float64() * float64(minRetryPause))
	}
	return c.backoff.Pause(rand.Float64())
}

// recordNotLeader records that a keeper said that it doesn't lead, naming the leader or not.
// It knows its own role better than this process does.
func (c *Client) recordNotLeader(name string, hinted bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.deposed = name
	if !hinted {
		c.asks++
	}
}
