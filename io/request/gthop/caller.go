package gthop

import (
	"context"
	"time"

	"godwittide/core/request/gtcall"
	"godwittide/core/request/gtkind"
	"godwittide/io/connection/gtsocket"
)

// checkCaller returns an error of the kind Expired if nobody waits for the response to
// a call any longer: its deadline has passed, or its caller has closed the connection.
// It is called right before the call is sent on, since the process may have been paused
// since the call arrived.
func checkCaller(ctx context.Context, c gtcall.Call, now time.Time) error {
	switch {
	case !now.Before(c.Deadline()):
		return gtkind.New(gtkind.Expired, "deadline passed before the request was sent")
	case gtsocket.CallerLeft(ctx):
		return gtkind.New(gtkind.Expired, "caller disconnected before the request was sent")
	default:
		return nil
	}
}
