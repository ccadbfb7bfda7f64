package reception

import (
	"fmt"
	"io"

	"github.com/hashicorp/go-hclog"
	"github.com/zeromicro/go-zero/core/logx"
)

// NewLogger returns the logger of a program and routes go-zero's logs into it.
func NewLogger(name, level string, asJSON bool, w io.Writer) hclog.Logger {
	log := hclog.New(&hclog.LoggerOptions{
		Name:       name,
		Level:      hclog.LevelFromString(level),
		JSONFormat: asJSON,
		Output:     w,
	})
	_ = logx.SetUp(logx.LogConf{Level: "severe", Mode: "console", Stat: false})
	logx.SetWriter(&logWriter{log: log.Named("go-zero")})
	return log
}

// logWriter forwards go-zero's logs to hclog.
type logWriter struct {
	log hclog.Logger
}

var _ logx.Writer = (*logWriter)(nil)

func (w *logWriter) Alert(v any)                     { w.log.Error(fmt.Sprint(v)) }
func (w *logWriter) Close() error                    { return nil }
func (w *logWriter) Debug(v any, _ ...logx.LogField) { w.log.Debug(fmt.Sprint(v)) }
func (w *logWriter) Error(v any, _ ...logx.LogField) { w.log.Error(fmt.Sprint(v)) }
func (w *logWriter) Info(v any, _ ...logx.LogField)  { w.log.Debug(fmt.Sprint(v)) }
func (w *logWriter) Severe(v any)                    { w.log.Error(fmt.Sprint(v)) }
func (w *logWriter) Slow(v any, _ ...logx.LogField)  { w.log.Debug(fmt.Sprint(v)) }
func (w *logWriter) Stack(v any)                     { w.log.Error(fmt.Sprint(v)) }
func (w *logWriter) Stat(v any, _ ...logx.LogField)  { w.log.Debug(fmt.Sprint(v)) }
