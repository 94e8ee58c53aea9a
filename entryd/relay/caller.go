package relay

import (
	"net/http"
	"time"

	"verbenahaven.example/core/conn/server"
)

// writeGrace is the time after the deadline of a call in which its answer may
// still be written.
const writeGrace = time.Second

// boundWrites lets writes to the caller fail some time after the deadline, until
// the returned function is called. Without that, a caller that reads nothing would
// hold its call, and the configuration version that it began under, for good.
func (f *inflightCall) boundWrites() (unbound func()) {
	control := http.NewResponseController(f.w)
	if err := control.SetWriteDeadline(f.deadline.Add(writeGrace)); err != nil {
		f.meter.Count("front", "no_write_deadline")
	}
	return func() { _ = control.SetWriteDeadline(time.Time{}) } // fails only with the connection
}

// writeToLeaver writes the refusal of a call whose caller seems to have left. One
// that closed only its sending side still reads, and without a refusal it would
// get an empty success.
func (f *inflightCall) writeToLeaver(reason string, retryAfter time.Duration) {
	r := server.Refusal{Kind: server.RefuseNotExecuted, RetryAfter: retryAfter, Message: reason}
	if len(f.mayHaveRun) > 0 {
		r = server.Refusal{Kind: server.RefuseOutcomeUnknown, Message: reason}
	}
	f.codec.WriteRefusal(f.w, r)
}
