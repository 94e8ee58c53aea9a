// Package store is a stand-in for what the platform gives: the list of
// instances, which lags, and the weight store, whose rate is limited.
package store

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"verbenahaven.example/core/conn/list"
	"verbenahaven.example/stand/config"
	"verbenahaven.example/stand/gate"
)

const (
	bodyLimit   = 1 << 20
	changeLimit = 1024
)

type change struct {
	at        time.Time
	instances []list.Instance
}

// List serves the platform's list as it was some time ago.
type List struct {
	config config.List

	mutex   sync.Mutex
	changes []change
}

// NewList returns an empty list.
func NewList(c config.List) *List {
	return &List{config: c}
}

// Listen serves the list. The clean-up closes all connections.
func (l *List) Listen(ctx context.Context) (func(), error) {
	m := http.NewServeMux()
	m.HandleFunc("GET "+list.Path, l.serveGet)
	m.HandleFunc("PUT "+list.Path, l.servePut)
	_, cleanup, err := gate.Serve(ctx, l.config.Listen, m)
	if err != nil {
		return nil, fmt.Errorf("platform list: %w", err)
	}
	return cleanup, nil
}

func (l *List) put(now time.Time, instances []list.Instance) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if len(l.changes) >= changeLimit {
		l.changes = append(l.changes[:0], l.changes[changeLimit/2:]...)
	}
	l.changes = append(l.changes, change{now, instances})
}

func (l *List) get(now time.Time) []list.Instance {
	until := now.Add(-time.Duration(l.config.Lag))
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for i := len(l.changes) - 1; i >= 0; i-- {
		if !l.changes[i].at.After(until) {
			return l.changes[i].instances
		}
	}
	return []list.Instance{}
}

func (l *List) serveGet(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(l.get(time.Now()))
}

func (l *List) servePut(w http.ResponseWriter, r *http.Request) {
	instances := []list.Instance{}
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, bodyLimit)).Decode(&instances); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	l.put(time.Now(), instances)
	w.WriteHeader(http.StatusNoContent)
}
