// Package store simulates services of the platform: the list of instances, which
// shows changes after a delay, and the weight store with limited bandwidth.
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
	maxBodyBytes = 1 << 20
	maxVersions  = 1024
)

// listVersion is the content of the list from a time on.
type listVersion struct {
	at        time.Time
	instances []list.Instance
}

// List serves the platform's list of instances as it was a configured time ago.
type List struct {
	config config.List

	mutex    sync.Mutex
	versions []listVersion
}

// NewList returns an empty list.
func NewList(c config.List) *List {
	return &List{config: c}
}

// Listen serves the list. The returned function stops the server and closes all
// connections.
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

func (l *List) addVersion(now time.Time, instances []list.Instance) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if len(l.versions) >= maxVersions {
		l.versions = append(l.versions[:0], l.versions[maxVersions/2:]...)
	}
	l.versions = append(l.versions, listVersion{now, instances})
}

// visibleInstances returns the newest version that is old enough to be visible.
func (l *List) visibleInstances(now time.Time) []list.Instance {
	until := now.Add(-time.Duration(l.config.Lag))
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for i := len(l.versions) - 1; i >= 0; i-- {
		if !l.versions[i].at.After(until) {
			return l.versions[i].instances
		}
	}
	return []list.Instance{}
}

func (l *List) serveGet(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(l.visibleInstances(time.Now()))
}

func (l *List) servePut(w http.ResponseWriter, r *http.Request) {
	instances := []list.Instance{}
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&instances); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	l.addVersion(time.Now(), instances)
	w.WriteHeader(http.StatusNoContent)
}
