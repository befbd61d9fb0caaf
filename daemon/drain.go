package daemon

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/bramleywick/bramleywick/core/sched"
)

// besideTimeout bounds the end of operators' and admin requests after the
// callers' answers are finished.
const besideTimeout = 5 * time.Second

// Interrupt ends a drain at once; running answers are broken off. It may be
// called at any time and more than once.
func (d *Daemon) Interrupt() {
	d.interruptOnce.Do(func() { close(d.interrupt) })
}

// Stop is the planned stop: readiness goes off, the balancer's delay passes
// while requests are still served, then no new work is accepted and running
// answers are finished. It returns an error if the drain limit or Interrupt
// has broken answers off.
func (d *Daemon) Stop() error {
	d.log.Info("stopping", zap.Int("open_requests", len(d.calls.OpenRequests())))
	d.stopping.Store(true)
	d.leaveCluster()
	defer d.stopCluster()
	d.calls.DisableKeepAlives()
	select {
	case <-time.After(d.settings.BalancerDelay):
	case <-d.interrupt:
	}
	d.dispatcher.Step(sched.Drain{})
	err := d.finishAnswers()
	d.claims.Wait()
	d.awaitAuthority()
	d.stopBeside()
	if err == nil {
		d.log.Info("stopped")
	}
	_ = d.log.Sync()
	return err
}

// finishAnswers closes the callers' listener and waits for their answers.
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
	interrupted := d.calls.OpenRequests()
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

// awaitAuthority waits until the order lease has been given back, so that
// another instance can take it at once.
func (d *Daemon) awaitAuthority() {
	select {
	case <-d.authorityDone:
	case <-time.After(besideTimeout):
	case <-d.interrupt:
	}
}

func (d *Daemon) stopBeside() {
	ctx, cancel := context.WithTimeout(context.Background(), besideTimeout)
	defer cancel()
	for _, s := range d.servers {
		d.stopServer(ctx, s)
	}
}

func (d *Daemon) stopServer(ctx context.Context, s *http.Server) {
	if s.Shutdown(ctx) != nil {
		_ = s.Close()
	}
}
