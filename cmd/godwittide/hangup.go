package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"
)

// hangupSignals receives SIGHUP, the signal that reports a changed settings
// file. Receiving it keeps the signal from ending the process.
type hangupSignals chan os.Signal

// notifyHangups starts to receive SIGHUP. Commands that run a node call it first,
// as the signal may arrive at any time.
func notifyHangups() hangupSignals {
	h := make(hangupSignals, 1)
	signal.Notify(h, syscall.SIGHUP)
	return h
}

// log writes a log line for each signal until ctx ends.
func (h hangupSignals) log(ctx context.Context, log zerolog.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-h:
			log.Info().Msg("node: SIGHUP received; changed settings take effect at the next start")
		}
	}
}
