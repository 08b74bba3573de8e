package main

import (
	"context"
	"os"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/laburnumcleat/laburnumcleat/pkg/logging"
	"github.com/laburnumcleat/laburnumcleat/standin/backend"
)

const backendGrace = 60 * time.Second

// newBackendCmd runs one backend server.
func newBackendCmd() verb {
	o := backend.Options{Listen: "127.0.0.1:7100", Service: "demo", Slots: 10, Connections: 120}
	serviceMS, coldMS, holdMS, executions, tokenFile := 20, 0, 0, "", ""
	command := newCommand("backend", "backend server with slots, cold start, load shedding and misleading health")
	command.String(&o.Service, "s", "service", "name of the service")
	command.String(&o.Listen, "l", "listen", `address "ip:port"`)
	command.String(&o.NodeAPI, "a", "api", "base URL of the API of the node in the same VM")
	command.String(&o.CAFile, "", "ca-file", "PEM file with the certificates that the API of the node is verified against")
	command.String(&tokenFile, "", "token-file", "file with the token for announcements")
	command.String(&o.NodeCalls, "c", "calls", "base URL for callers of the node in the same VM, for nested calls")
	command.String(&o.Nested, "n", "nested", "path that each request calls through the node; empty: none")
	command.Int(&o.Slots, "", "slots", "requests served at the same time")
	command.Int(&o.Connections, "", "connections", "accepted connections")
	command.Int(&serviceMS, "", "service-time-ms", "mean time of a request in milliseconds")
	command.Int(&coldMS, "", "cold-start-ms", "time after the start during which requests are slow, in milliseconds")
	command.Int(&holdMS, "", "drain-hold-ms", "least time from the announcement of a drain to the end of the process, in milliseconds")
	command.Bool(&o.MisleadingHealth, "", "health-lies", "the health endpoint reports an idle server whatever the truth")
	command.String(&executions, "", "executions", "file that gets one line with the request id and the time in Unix microseconds at the begin of each execution")
	return verb{command, func(ctx context.Context) error {
		o.ServiceTime = time.Duration(serviceMS) * time.Millisecond
		o.ColdStart = time.Duration(coldMS) * time.Millisecond
		o.DrainHold = time.Duration(holdMS) * time.Millisecond
		logger, err := logging.New(os.Stderr, "info")
		if err != nil {
			return err
		}
		o.Logger = logger
		if tokenFile != "" {
			token, err := os.ReadFile(tokenFile)
			if err != nil {
				return eris.Wrap(err, "reading the token")
			}
			o.Token = strings.TrimSpace(string(token))
		}
		if executions != "" {
			file, err := os.OpenFile(executions, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
			if err != nil {
				return eris.Wrap(err, "opening the file of executions")
			}
			defer file.Close()
			o.ExecutionLog = file
		}
		server, err := backend.New(o)
		if err != nil {
			return err
		}
		return server.Run(ctx, backendGrace)
	}}
}
