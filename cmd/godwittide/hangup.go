package main

import (
	"os"
	"os/signal"
	"syscall"
)

// notifyHangups starts to receive SIGHUP, the signal that reports a changed settings
// file, and keeps it from ending the process. Commands that run a node call it first,
// as the signal may arrive at any time.
func notifyHangups() <-chan os.Signal {
	h := make(chan os.Signal, 1)
	signal.Notify(h, syscall.SIGHUP)
	return h
}
