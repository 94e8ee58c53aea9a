package lead

import "context"

// runList follows the platform's list of instances.
func (l *Lead) runList(ctx context.Context) {
	<-ctx.Done()
}
