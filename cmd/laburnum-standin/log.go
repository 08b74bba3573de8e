package main

import (
	"context"
	"net"
	"time"

	"github.com/rotisserie/eris"

	"github.com/laburnumcleat/laburnumcleat/standin/logservice"
)

// newLogCmd returns the command that runs the log service.
func newLogCmd() verb {
	listen, retentionS, retainCount, appends := "127.0.0.1:7200", 0, 0, 0
	command := newCommand("log", "log service: append-only streams over HTTP, with fault control at /control")
	command.String(&listen, "l", "listen", `address "ip:port"`)
	command.Int(&retentionS, "r", "retention-s", "records older than this expire, in seconds; 0: never")
	command.Int(&retainCount, "c", "retain-count", "maximum number of records kept per stream; 0: unlimited")
	command.Int(&appends, "a", "appends-per-second", "append rate limit over all streams; 0: 400")
	return verb{command, func(ctx context.Context) error {
		listener, err := net.Listen("tcp", listen)
		if err != nil {
			return eris.Wrap(err, "log service")
		}
		log := logservice.New(logservice.Options{RetainFor: time.Duration(retentionS) * time.Second, RetainCount: retainCount, AppendsPerSecond: appends})
		return logservice.NewServer(log).Serve(ctx, listener)
	}}
}
