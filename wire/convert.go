package wire

import (
	"time"

	"github.com/heatherrail/heatherrail/result"
)

// Err returns the refusal as a result error.
func (r *Refusal) Err() error {
	return &result.Error{
		Code:       result.Code(r.Code),
		Detail:     r.Detail,
		RetryAfter: time.Duration(r.RetryAfterMs) * time.Millisecond,
	}
}
