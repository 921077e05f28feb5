package event

import (
	"bytes"
	"io"

	"github.com/go-logfmt/logfmt"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"github.com/tidwall/gjson"
)

// NewLogger returns a logger that writes one key=value line per event to out.
// level is one of debug, info, warn and error.
func NewLogger(out io.Writer, level string) (zerolog.Logger, error) {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil || level == "" {
		return zerolog.Nop(), eris.Errorf("log level %q is none of debug, info, warn and error", level)
	}
	return zerolog.New(&logfmtWriter{out: out}).Level(parsed).With().Timestamp().Logger(), nil
}

// logfmtWriter turns zerolog's JSON lines into key=value lines. Values that
// aren't strings, numbers or booleans are written as JSON text.
type logfmtWriter struct {
	out io.Writer
}

// Write implements io.Writer; each call receives one JSON object.
func (w *logfmtWriter) Write(line []byte) (int, error) {
	var b bytes.Buffer
	if err := encodeLogfmt(&b, line); err != nil {
		return 0, eris.Wrap(err, "convert log line")
	}
	if _, err := w.out.Write(b.Bytes()); err != nil {
		return 0, err
	}
	return len(line), nil
}

// encodeLogfmt writes a JSON object as one key=value line.
func encodeLogfmt(out *bytes.Buffer, line []byte) error {
	object := gjson.ParseBytes(line)
	if !object.IsObject() {
		return eris.New("log line is no JSON object")
	}
	encoder := logfmt.NewEncoder(out)
	var err error
	object.ForEach(func(key, value gjson.Result) bool {
		err = encoder.EncodeKeyval(key.String(), value.String())
		return err == nil
	})
	if err != nil {
		return err
	}
	return encoder.EndRecord()
}

// maxBufferedBytes is the capacity of a LineBuffer.
const maxBufferedBytes = 32 << 10

// LineBuffer buffers log lines and writes them together, on Flush or before it
// would exceed its capacity. It is not safe for concurrent use.
type LineBuffer struct {
	out   io.Writer
	lines []byte
}

// NewLineBuffer returns a buffer that writes to out.
func NewLineBuffer(out io.Writer) *LineBuffer { return &LineBuffer{out: out} }

// Write implements io.Writer; each call receives one line.
func (b *LineBuffer) Write(line []byte) (int, error) {
	if len(b.lines)+len(line) > maxBufferedBytes {
		if err := b.Flush(); err != nil {
			return 0, err
		}
	}
	b.lines = append(b.lines, line...)
	return len(line), nil
}

// Flush writes the buffered lines. They are lost if it fails.
func (b *LineBuffer) Flush() error {
	if len(b.lines) == 0 {
		return nil
	}
	_, err := b.out.Write(b.lines)
	b.lines = b.lines[:0]
	return err
}
