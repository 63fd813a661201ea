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
	flushInterval    = 250 * time.Millisecond
	writeBufferBytes = 32 << 10
)

// Writer is an io.Writer that queues lines for one goroutine, which writes them.
type Writer struct {
	lines   chan []byte
	stop    chan struct{}
	done    chan struct{}
	dropped atomic.Int64
	close   sync.Once
}

// NewWriter starts the goroutine that writes the queued lines to out.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{lines: make(chan []byte, bufferLines), stop: make(chan struct{}), done: make(chan struct{})}
	go w.run(out)
	return w
}

// Write queues one line. It never blocks, and it returns no error for a line that is
// dropped because the buffer is full.
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
	buffered := bufio.NewWriterSize(out, writeBufferBytes)
	defer buffered.Flush()
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		select {
		case line := <-w.lines:
			w.write(buffered, line)
		case <-ticker.C:
			_ = buffered.Flush() // bufio keeps the error and returns it from the next write
		case <-w.stop:
			for len(w.lines) > 0 {
				w.write(buffered, <-w.lines)
			}
			return
		}
	}
}

// write counts a line that cannot be written as dropped. The error itself cannot be
// logged, because the log is what fails.
func (w *Writer) write(out *bufio.Writer, line []byte) {
	if out.Available() < len(line) {
		// Flush first, so that no line is split between two writes. bufio keeps the
		// error and returns it from the next write.
		_ = out.Flush()
	}
	if _, err := out.Write(line); err != nil {
		w.dropped.Add(1)
	}
}

// Close writes the queued lines and stops the goroutine. Lines that arrive later are
// lost.
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
