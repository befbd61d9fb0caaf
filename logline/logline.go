// Package logline makes the logger of a process that serves requests: JSON lines
// to one writer, bounded per second and message, never blocking the caller.
package logline

import (
	"io"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// firstPerSecond is how many lines with one message are written in a
	// second; the rest is counted.
	firstPerSecond = 40
	// queueLines is how many lines wait for a slow reader.
	queueLines = 2048
)

// Counts tells how many lines were left out.
type Counts struct {
	sampled atomic.Int64
	dropped atomic.Int64
}

// Sampled counts the lines over the limit per second.
func (c *Counts) Sampled() int64 { return c.sampled.Load() }

// Dropped counts the lines that found the queue full.
func (c *Counts) Dropped() int64 { return c.dropped.Load() }

// New returns a logger that writes to out in a goroutine of its own, and a
// function that writes what waits.
func New(out io.Writer, level zapcore.Level) (*zap.Logger, *Counts, func()) {
	counts := &Counts{}
	w := &writer{out: out, lines: make(chan []byte, queueLines), counts: counts, idle: make(chan chan struct{})}
	go w.run()
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.EpochMillisTimeEncoder
	config.EncodeDuration = zapcore.MillisDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(config), zapcore.AddSync(w), level)
	sampled := zapcore.NewSamplerWithOptions(core, time.Second, firstPerSecond, 0, zapcore.SamplerHook(func(_ zapcore.Entry, d zapcore.SamplingDecision) {
		if d&zapcore.LogDropped > 0 {
			counts.sampled.Add(1)
		}
	}))
	return zap.New(sampled), counts, w.flush
}

// Error is the field of an error. Unlike zap.Error it leaves out the stack that
// the error carries: a line is written for each failed attempt, and the step and
// the peer stand in the message.
func Error(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("error", err.Error())
}

type writer struct {
	out    io.Writer
	lines  chan []byte
	idle   chan chan struct{}
	counts *Counts
}

// Write implements io.Writer. It drops a line when the queue is full.
func (w *writer) Write(p []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), p...):
	default:
		w.counts.dropped.Add(1)
	}
	return len(p), nil
}

// batchBytes is how much is written at once.
const batchBytes = 16 << 10

func (w *writer) run() {
	var batch []byte
	for {
		select {
		case line := <-w.lines:
			batch = append(batch[:0], line...)
			for len(batch) < batchBytes && len(w.lines) > 0 {
				batch = append(batch, <-w.lines...)
			}
			// There is no place to report that the log cannot be written.
			_, _ = w.out.Write(batch)
		case done := <-w.idle:
			for len(w.lines) > 0 {
				_, _ = w.out.Write(<-w.lines)
			}
			close(done)
		}
	}
}

// flushTimeout bounds the wait for a slow reader at the end.
const flushTimeout = 500 * time.Millisecond

func (w *writer) flush() {
	done := make(chan struct{})
	select {
	case w.idle <- done:
	case <-time.After(flushTimeout):
		return
	}
	select {
	case <-done:
	case <-time.After(flushTimeout):
	}
}
