// Command standin plays a small deployment on loopback addresses: it starts the
// project's daemons as the deploy file says, and stands in for the platform, the
// engines, the clients and the operator.
package main

import (
	"fmt"
	"os"
	"sort"
	"time"
)

// scenario plays one case. It returns whether the rule held.
type scenario func(w *world) (held bool, err error)

var scenarios = map[string]scenario{}

// Exit codes of the scripts.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// longestRun ends a run on a machine that is too busy for it.
const longestRun = 110 * time.Second

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		names := make([]string, 0, len(scenarios))
		for name := range scenarios {
			names = append(names, name)
		}
		sort.Strings(names)
		fmt.Fprintln(os.Stderr, "usage: standin SCENARIO RECORD; scenarios:", names)
		return exitNotRun
	}
	w, err := newWorld(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		return exitNotRun
	}
	defer w.close()
	time.AfterFunc(longestRun, func() {
		w.record("could not run: not done after %s", longestRun)
		w.close()
		os.Exit(exitNotRun)
	})
	held, err := scenarios[os.Args[1]](w)
	switch {
	case err != nil:
		w.record("could not run: %v", err)
		fmt.Fprintln(os.Stderr, "standin:", err)
		return exitNotRun
	case !held:
		w.record("result: the rule was broken")
		return exitBroken
	}
	w.record("result: the rule held")
	return exitHeld
}
