// Package logline provides the logger of a process that serves requests. It writes
// JSON lines to one writer, limits the lines per second and message, and never
// blocks the caller.
package logline

import (
	"io"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// maxLinesPerSecond is the most lines with the same message that are written
	// in a second; further ones are only counted.
	maxLinesPerSecond = 40
	// queueCapacity is the most lines that wait to be written; further ones are
	// dropped and counted.
	queueCapacity = 2048
)

// Counts counts the lines that were not written. Safe for concurrent use.
type Counts struct {
	sampled atomic.Int64
	dropped atomic.Int64
}

// Sampled returns the number of lines left out because of the limit per second.
func (c *Counts) Sampled() int64 { return c.sampled.Load() }

// Dropped returns the number of lines dropped because the queue was full.
func (c *Counts) Dropped() int64 { return c.dropped.Load() }

// New returns a logger that writes lines of at least the given level to out in a
// goroutine of its own, the counts of lines that were not written, and a function that
// flushes the queue.
func New(out io.Writer, level zapcore.Level) (*zap.Logger, *Counts, func()) {
	counts := &Counts{}
	w := &asyncWriter{out: out, queue: make(chan []byte, queueCapacity), counts: counts, flushRequests: make(chan chan struct{})}
	go w.run()
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.EpochMillisTimeEncoder
	config.EncodeDuration = zapcore.MillisDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(config), zapcore.AddSync(w), level)
	sampled := zapcore.NewSamplerWithOptions(core, time.Second, maxLinesPerSecond, 0, zapcore.SamplerHook(func(_ zapcore.Entry, d zapcore.SamplingDecision) {
		if d&zapcore.LogDropped > 0 {
			counts.sampled.Add(1)
		}
	}))
	return zap.New(sampled), counts, w.flush
}

// Error returns the log field of an error, or no field for nil. Unlike zap.Error
// it leaves out the error's stack trace: a line is written for each failed attempt,
// and the message names the step and the peer.
func Error(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("error", err.Error())
}

// asyncWriter writes lines to out in the goroutine of run.
type asyncWriter struct {
	out           io.Writer
	queue         chan []byte
	flushRequests chan chan struct{}
	counts        *Counts
}

// Write implements io.Writer. It drops a line when the queue is full.
func (w *asyncWriter) Write(p []byte) (int, error) {
	select {
	case w.queue <- append([]byte(nil), p...):
	default:
		w.counts.dropped.Add(1)
	}
	return len(p), nil
}

// batchBytes is the size at which a batch of lines is written.
const batchBytes = 16 << 10

// run writes queued lines in batches and serves flush requests.
func (w *asyncWriter) run() {
	var batch []byte
	for {
		select {
		case line := <-w.queue:
			batch = append(batch[:0], line...)
			for len(batch) < batchBytes && len(w.queue) > 0 {
				batch = append(batch, <-w.queue...)
			}
			// A failed write cannot be reported anywhere.
			_, _ = w.out.Write(batch)
		case done := <-w.flushRequests:
			for len(w.queue) > 0 {
				_, _ = w.out.Write(<-w.queue)
			}
			close(done)
		}
	}
}

// flushTimeout bounds each of the two waits of a flush when the writer is slow.
const flushTimeout = 500 * time.Millisecond

// flush waits until the queued lines are written or flushTimeout has passed.
func (w *asyncWriter) flush() {
	done := make(chan struct{})
	select {
	case w.flushRequests <- done:
	case <-time.After(flushTimeout):
		return
	}
	select {
	case <-done:
	case <-time.After(flushTimeout):
	}
}
