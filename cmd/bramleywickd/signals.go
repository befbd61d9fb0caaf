package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// stopSignals returns a context that is cancelled at the first SIGTERM or
// interrupt, and a channel that is closed at the second.
func stopSignals() (ctx context.Context, second <-chan struct{}) {
	received := make(chan os.Signal, 2)
	signal.Notify(received, os.Interrupt, syscall.SIGTERM)
	ctx, cancel := context.WithCancel(context.Background())
	secondSignal := make(chan struct{})
	go func() {
		<-received
		cancel()
		<-received
		close(secondSignal)
	}()
	return ctx, secondSignal
}
