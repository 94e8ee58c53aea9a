package bench

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"verbenahaven.example/core/conn/inject"
	"verbenahaven.example/trial/demand"
)

// collect adds the histories of engines, the planner's decisions and the summed
// metrics of all instances to the result.
func (r *runner) collect(ctx context.Context, result *Result) error {
	for i := range r.deployment.Engines {
		var records []inject.Record
		if err := r.fleet.History(ctx, engineName(i), &records); err != nil {
			return fmt.Errorf("read history: %w", err)
		}
		for _, v := range records {
			r.addRecord(result, engineName(i), v)
		}
	}
	reply, err := r.fleet.Run(ctx, "ask decision\n")
	if err != nil {
		return fmt.Errorf("ask for decisions: %w", err)
	}
	for _, t := range reply.Tables {
		result.Decisions = append(result.Decisions, t.Rows...)
	}
	result.Counters = make(map[string]int64)
	urls := append([]string{}, r.urls...)
	for _, k := range r.fleet.Keepers() {
		urls = append(urls, k.URL())
	}
	for _, url := range urls {
		if err := addCounters(ctx, url, r.fleet.Token(), result.Counters); err != nil {
			return err
		}
	}
	return nil
}

func (r *runner) addRecord(result *Result, name string, v inject.Record) {
	if v.Conflict {
		result.OrderConflicts++
	}
	switch v.Kind {
	case inject.RecordAborted:
		result.CutByOrder++
	case inject.RecordApplied:
		at := v.At.Sub(r.start)
		result.Changes = append(result.Changes, Change{
			At: at, Segment: segmentAt(r.deployment.Segments, at), Engine: name, Role: string(v.Order.Role),
		})
	}
}

func segmentAt(segments []demand.Segment, at time.Duration) int {
	for i, s := range segments {
		if at < s.Length {
			return i
		}
		at -= s.Length
	}
	return len(segments) - 1
}

// addCounters adds the counters of an instance to sums.
func addCounters(ctx context.Context, url, token string, sums map[string]int64) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url+"/metrics", http.NoBody)
	if err != nil {
		return fmt.Errorf("make request: %w", err)
	}
	request.Header.Set("Authorization", "Bearer "+token)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("read metrics: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	s := bufio.NewScanner(response.Body)
	for s.Scan() {
		name, value, ok := strings.Cut(s.Text(), " ")
		if n, err := strconv.ParseInt(value, 10, 64); ok && err == nil {
			sums[name] += n
		}
	}
	if err := s.Err(); err != nil {
		return fmt.Errorf("read metrics: %w", err)
	}
	return nil
}

// ChangesIn counts the role changes completed in a segment.
func (r *Result) ChangesIn(segment int) int {
	n := 0
	for _, c := range r.Changes {
		if c.Segment == segment {
			n++
		}
	}
	return n
}

// EngineCounts returns the number of engines by segment. An engine that is
// withdrawn within a segment counts until the end of the segment.
func EngineCounts(d Deployment) []int {
	n := make([]int, len(d.Segments))
	for i := range n {
		n[i] = d.Engines
	}
	return n
}
