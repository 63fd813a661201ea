package eventlog

import (
	"bufio"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// bufferLines is about one second of lines at the highest load of one host.
	bufferLines = 4096
	// flushInterval bounds how long a line waits in memory.
	flushInterval = 250 * time.Millisecond
	writeBuffer   = 32 << 10
)

// Writer passes lines to one goroutine.
type Writer struct {
	lines   chan []byte
	stop    chan struct{}
	done    chan struct{}
	dropped atomic.Int64
	close   sync.Once
}

// NewWriter starts writing to out.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{lines: make(chan []byte, bufferLines), stop: make(chan struct{}), done: make(chan struct{})}
	go w.run(out)
	return w
}

// Write takes one line. It never blocks and reports no error for a dropped line.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

func (w *Writer) run(out io.Writer) {
	defer close(w.done)
	buffered := bufio.NewWriterSize(out, writeBuffer)
	defer buffered.Flush()
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		select {
		case line := <-w.lines:
			w.write(buffered, line)
		case <-ticker.C:
			_ = buffered.Flush() // the error returns at the next write
		case <-w.stop:
			for len(w.lines) > 0 {
				w.write(buffered, <-w.lines)
			}
			return
		}
	}
}

// write counts a line that cannot be written as dropped: there is nowhere to say so.
func (w *Writer) write(out *bufio.Writer, line []byte) {
	if out.Available() < len(line) {
		_ = out.Flush() // whole lines go out together; the error returns at the next write
	}
	if _, err := out.Write(line); err != nil {
		w.dropped.Add(1)
	}
}

// Close writes what is buffered. Later lines are lost.
func (w *Writer) Close() {
	w.close.Do(func() {
		close(w.stop)
		<-w.done
	})
}

// NewLogger returns a logger that writes JSON lines to the writer.
func NewLogger(w *Writer) *logrus.Logger {
	log := logrus.New()
	log.SetOutput(w)
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano, FieldMap: logrus.FieldMap{
		logrus.FieldKeyMsg: "event", logrus.FieldKeyTime: "time", logrus.FieldKeyLevel: "level"}})
	return log
}
