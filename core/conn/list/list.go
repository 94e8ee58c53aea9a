// Package list is the service discovery interface: the platform's list of live
// and leaving instances. The list is eventually consistent and may be outdated.
package list

// Path is the URL path of the list: GET returns a JSON array of Instance, PUT
// replaces it.
const Path = "/instances"

// Instance is a listed process and its address.
type Instance struct {
	Name    string `json:"name"`
	Kind    string `json:"kind"` // entry, keep, engine or server
	URL     string `json:"url"`
	Centre  string `json:"centre,omitempty"`
	Leaving bool   `json:"leaving,omitempty"`
}
