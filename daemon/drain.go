package daemon

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/bramleywick/bramleywick/core/sched"
)

// secondaryStopTimeout bounds the wait for the release of the order lease and the
// wait for operators' and admin requests, after the callers' answers are finished.
const secondaryStopTimeout = 5 * time.Second

// Interrupt ends a drain at once and interrupts the running answers. It may be
// called at any time and more than once.
func (d *Daemon) Interrupt() {
	d.interruptOnce.Do(func() { close(d.interrupt) })
}

// Stop stops the instance as planned: it is not ready any more, serves requests
// for the balancer's delay, then accepts no new requests and finishes the running
// answers. It returns an error if answers were interrupted by the drain limit or
// by Interrupt.
func (d *Daemon) Stop() error {
	d.log.Info("stopping", zap.Int("open_requests", len(d.callerServer.OpenRequests())))
	d.stopping.Store(true)
	d.leaveCluster()
	defer d.stopCluster()
	d.callerServer.DisableKeepAlives()
	select {
	case <-time.After(d.settings.BalancerDelay):
	case <-d.interrupt:
	}
	d.dispatcher.Step(sched.Drain{})
	err := d.finishAnswers()
	d.claims.Wait()
	d.awaitAuthority()
	d.stopSecondary()
	if err == nil {
		d.log.Info("stopped")
	}
	_ = d.log.Sync()
	return err
}

// finishAnswers closes the callers' listener and waits up to the drain limit for
// the running answers. It returns an error if it had to interrupt some.
func (d *Daemon) finishAnswers() error {
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.DrainLimit)
	defer cancel()
	go func() {
		select {
		case <-d.interrupt:
			cancel()
		case <-ctx.Done():
		}
	}()
	if d.callers.Shutdown(ctx) == nil {
		return nil
	}
	interrupted := d.callerServer.OpenRequests()
	d.metrics.Interrupted(len(interrupted))
	for _, o := range interrupted {
		d.log.Warn("request interrupted by the stop", zap.String("request_id", string(o.ID)),
			zap.String("member", string(o.Member)), zap.String("kind", string(o.Kind)), zap.Duration("age", time.Since(o.ArrivedAt)))
	}
	_ = d.callers.Close()
	if len(interrupted) == 0 {
		return nil
	}
	d.log.Warn("stopped with interrupted requests", zap.Int("interrupted", len(interrupted)))
	return errors.Errorf("the stop has interrupted %d requests", len(interrupted))
}

// awaitAuthority waits until the order lease has been released, so that another
// instance can acquire it at once.
func (d *Daemon) awaitAuthority() {
	select {
	case <-d.authorityDone:
	case <-time.After(secondaryStopTimeout):
	case <-d.interrupt:
	}
}

// stopSecondary closes the listeners of operators and of the admin interface.
func (d *Daemon) stopSecondary() {
	ctx, cancel := context.WithTimeout(context.Background(), secondaryStopTimeout)
	defer cancel()
	for _, s := range d.secondary {
		d.stopServer(ctx, s)
	}
}

// stopServer shuts a server down and closes its connections when ctx ends.
func (d *Daemon) stopServer(ctx context.Context, s *http.Server) {
	if s.Shutdown(ctx) != nil {
		_ = s.Close()
	}
}
