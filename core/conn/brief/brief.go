// Package brief bounds the text of errors: those of net/http quote what a peer sent, and are
// logged and kept.
package brief

import "errors"

// maxText limits the text of an error, in bytes.
const maxText = 256

// Error returns an error whose text is bounded. A longer one isn't wrapped, since only the
// parsers of messages return such.
func Error(err error) error {
	text := err.Error()
	if len(text) <= maxText {
		return err
	}
	return errors.New(text[:maxText] + "...")
}
