package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"
)

// hangups is the signal by which a changed settings file is told. It does not
// end the node.
type hangups chan os.Signal

// catchHangups is called first, as the signal may come at any time.
func catchHangups() hangups {
	h := make(hangups, 1)
	signal.Notify(h, syscall.SIGHUP)
	return h
}

// log logs each signal until ctx ends.
func (h hangups) log(ctx context.Context, log zerolog.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-h:
			log.Info().Msg("node: got SIGHUP, changed settings are read at the next start")
		}
	}
}
