package broker

import (
	"context"
	"slices"
	"time"

	"verbenahaven.example/core/conn/proto"
)

const (
	// findTimeout is how long other instances may take to tell the origin of a
	// stream, over the longest way between data centres.
	findTimeout = 100 * time.Millisecond
	// maxSharedOrigins is the number of origins in one datagram.
	maxSharedOrigins = 32
)

// Share tells an instance, given by its link address, the origins of streams.
func (c *Conn) Share(link string, origins []proto.StreamOrigin) {
	to, err := socketAddress(link)
	if err != nil {
		c.meter.Count("broker", "not_sent")
		return
	}
	valid := slices.DeleteFunc(slices.Clone(origins), func(o proto.StreamOrigin) bool { return !validOrigin(o) })
	c.meter.Add(int64(len(origins)-len(valid)), "broker", "unfit")
	for part := range slices.Chunk(valid, maxSharedOrigins) {
		c.send(to, &proto.PlaceMessage{From: c.name, Origins: part})
	}
}

// Find asks instances, given by their link addresses, for the origin of a stream.
// It returns the first that is known, or nil.
func (c *Conn) Find(ctx context.Context, links []string, id string) *proto.StreamOrigin {
	replies := make(chan *proto.FindReply, len(links))
	c.mutex.Lock()
	c.finding[id] = append(c.finding[id], replies)
	c.mutex.Unlock()
	defer c.endFind(id, replies)
	asked := 0
	for _, link := range links {
		to, err := socketAddress(link)
		if err != nil {
			c.meter.Count("broker", "not_sent")
			continue
		}
		c.send(to, &proto.PlaceMessage{From: c.name, Find: id})
		asked++
	}
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	for ; asked > 0; asked-- {
		select {
		case r := <-replies:
			if r.Origin != nil {
				return r.Origin
			}
		case <-ctx.Done():
			return nil
		}
	}
	return nil
}

func (c *Conn) endFind(id string, replies chan *proto.FindReply) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.finding[id] = slices.DeleteFunc(c.finding[id], func(other chan *proto.FindReply) bool { return other == replies })
	if len(c.finding[id]) == 0 {
		delete(c.finding, id)
	}
}

// found hands a reply to those that wait for it.
func (c *Conn) found(r *proto.FindReply) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, replies := range c.finding[r.ID] {
		select {
		case replies <- r:
		default: // more replies than questions
		}
	}
}

// validOrigins checks what a message says of streams' origins.
func validOrigins(m *proto.PlaceMessage) bool {
	if len(m.Find) > maxTextBytes || len(m.Origins) > maxListItems {
		return false
	}
	if m.Found != nil && m.Found.Origin != nil && !validOrigin(*m.Found.Origin) {
		return false
	}
	return !slices.ContainsFunc(m.Origins, func(o proto.StreamOrigin) bool { return !validOrigin(o) })
}

func validOrigin(o proto.StreamOrigin) bool {
	return o.ID != "" && validTexts(o.ID, o.Pool, o.Build) && o.Left >= 0
}
