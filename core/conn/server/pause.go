package server

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// maxPauseSeconds bounds the pauses that servers ask for, so that they can be represented.
const maxPauseSeconds = 1e6

// Pause returns how long a server wants no requests after a response, 0 if it doesn't say. An
// invalid time counts as absent.
func Pause(status int, h http.Header) time.Duration {
	if status != http.StatusServiceUnavailable {
		return 0
	}
	seconds, err := strconv.ParseFloat(strings.TrimSpace(h.Get("Retry-After")), 64)
	if err != nil || !(seconds > 0) || math.IsInf(seconds, 0) {
		return 0
	}
	return time.Duration(min(seconds, maxPauseSeconds) * float64(time.Second))
}
