// Package logging builds the structured logger: one line of key=value pairs per event.
package logging

import (
	"io"
	"time"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
)

const timeFormat = "2006-01-02T15:04:05.000Z"

// New returns a logger that writes to out. Level is "debug", "info", "warn" or "error".
func New(out io.Writer, level string) (*zap.Logger, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, apierror.InvalidField("log_level", "unknown level "+level, "use debug, info, warn or error")
	}
	encoding := zap.NewProductionEncoderConfig()
	encoding.TimeKey = "time"
	encoding.MessageKey = "event"
	encoding.EncodeDuration = zapcore.StringDurationEncoder
	encoding.EncodeTime = func(t time.Time, enc zapcore.PrimitiveArrayEncoder) {
		enc.AppendString(t.UTC().Format(timeFormat))
	}
	core := zapcore.NewCore(zaplogfmt.NewEncoder(encoding), zapcore.Lock(zapcore.AddSync(out)), parsed)
	return zap.New(core), nil
}
