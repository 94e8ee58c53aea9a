package lead

import (
	"context"
	"errors"
	"fmt"

	"k8s.io/klog/v2"

	"verbenahaven.example/core/version/ledger"
	"verbenahaven.example/core/version/state"
	"verbenahaven.example/core/version/store"
)

// errLevel reports that a command isn't proposed while members of the log may run a build
// that doesn't understand it: they would ignore it, and their states would differ.
var errLevel = errors.New("members of the log don't understand the command yet")

func (l *Leader) level() uint64 {
	var level uint64
	l.readState(func(s *state.State, _ *ledger.Ledger) { level = s.Level() })
	return level
}

// checkLevel returns an error for a command whose level isn't in force.
func (l *Leader) checkLevel(c *store.Command) error {
	required := c.RequiredLevel()
	if required == 0 || required <= l.level() {
		return nil
	}
	l.meter.Count("refused", "level")
	return fmt.Errorf("level %d: %w", required, errLevel)
}

// raiseLevel puts the commands into force that all members of the log understand.
func (l *Leader) raiseLevel(ctx context.Context) {
	common := l.log.Status().CommonLevel
	if common <= l.level() {
		return
	}
	level, err := propose[uint64](ctx, l, store.Command{RaiseLevel: &store.LevelChange{Level: common}})
	klog.InfoS("level of commands", "level", level, "err", err)
}
