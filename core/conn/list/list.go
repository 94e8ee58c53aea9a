// Package list defines the platform's list of live and leaving instances. The
// list lags behind the truth.
package list

// Path is where the list is served: GET returns an array of Instance, PUT
// replaces it.
const Path = "/instances"

// Instance is one entry of the list.
type Instance struct {
	Name    string `json:"name"`
	Kind    string `json:"kind"` // entry, keep, engine or server
	URL     string `json:"url"`
	Centre  string `json:"centre,omitempty"`
	Leaving bool   `json:"leaving,omitempty"`
}
