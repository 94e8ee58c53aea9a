package size

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"verbenahaven.example/trial/fleet"
)

// usage is the resource usage of processes, summed since their start; resident
// memory is the current value.
type usage struct {
	resident float64 // bytes
	cpu      time.Duration
	sent     float64 // bytes
	packets  float64
}

var errShortStat = errors.New("too few fields in stat")

func totalUsage(ctx context.Context, processes []*fleet.Process) (usage, error) {
	var sum usage
	for _, p := range processes {
		resident, cpu, err := processUsage(p.PID())
		if err != nil {
			return sum, fmt.Errorf("usage of %s: %w", p.Name(), err)
		}
		sum.resident += resident
		sum.cpu += cpu
		metrics, err := readMetrics(ctx, p.URL())
		if err != nil {
			return sum, fmt.Errorf("metrics of %s: %w", p.Name(), err)
		}
		sum.sent += metrics["link.sent.bytes"]
		sum.packets += metrics["link.sent.packets"]
	}
	return sum, nil
}

// Indexes of the fields of /proc/PID/stat, counted after the command name, and
// the unit of its CPU times.
const (
	fieldUser   = 11
	fieldSystem = 12
	fieldPages  = 21
	clockTick   = 10 * time.Millisecond
)

// processUsage returns the resident memory in bytes and the CPU time of a process.
func processUsage(pid int) (float64, time.Duration, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, 0, fmt.Errorf("read stat: %w", err)
	}
	text := string(b)
	fields := strings.Fields(text[strings.LastIndexByte(text, ')')+1:])
	if len(fields) <= fieldPages {
		return 0, 0, errShortStat
	}
	var numbers [3]int64
	for i, n := range []int{fieldUser, fieldSystem, fieldPages} {
		numbers[i], err = strconv.ParseInt(fields[n], 10, 64)
		if err != nil {
			return 0, 0, fmt.Errorf("parse stat: %w", err)
		}
	}
	cpu := time.Duration(numbers[0]+numbers[1]) * clockTick
	return float64(numbers[2]) * float64(os.Getpagesize()), cpu, nil
}

func readMetrics(ctx context.Context, url string) (map[string]float64, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url+"/metrics", nil)
	if err != nil {
		return nil, fmt.Errorf("make request: %w", err)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, fmt.Errorf("get metrics: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	b, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, fmt.Errorf("read metrics: %w", err)
	}
	out := make(map[string]float64)
	for line := range strings.Lines(string(b)) {
		name, value, ok := strings.Cut(strings.TrimSpace(line), " ")
		if v, err := strconv.ParseFloat(value, 64); ok && err == nil {
			out[name] = v
		}
	}
	return out, nil
}
