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

const backendShutdownGrace = 60 * time.Second

// newBackendCmd returns the command that runs one backend server.
func newBackendCmd() verb {
	o := backend.Options{Listen: "127.0.0.1:7100", Service: "demo", Slots: 10, Connections: 120}
	serviceTimeMS, coldStartMS, drainHoldMS, executionsFile, tokenFile := 20, 0, 0, "", ""
	command := newCommand("backend", "backend server with slots, cold start, load shedding and false health reports")
	command.String(&o.Service, "s", "service", "name of the service")
	command.String(&o.Listen, "l", "listen", `address "ip:port"`)
	command.String(&o.NodeAPI, "a", "api", "base URL of the API of the node in the same VM")
	command.String(&o.CAFile, "", "ca-file", "PEM file with the certificates that the API of the node is verified against")
	command.String(&tokenFile, "", "token-file", "file with the token for announcements")
	command.String(&o.NodeCalls, "c", "calls", "base URL of the call listener of the node in the same VM, for nested calls")
	command.String(&o.Nested, "n", "nested", "path of a nested call that each request makes through the node; empty: none")
	command.Int(&o.Slots, "", "slots", "requests served at the same time")
	command.Int(&o.Connections, "", "connections", "accepted connections")
	command.Int(&serviceTimeMS, "", "service-time-ms", "mean service time of a request in milliseconds")
	command.Int(&coldStartMS, "", "cold-start-ms", "period after the start during which requests are slow, in milliseconds")
	command.Int(&drainHoldMS, "", "drain-hold-ms", "minimum time from the announcement of a drain to the exit of the process, in milliseconds")
	command.Bool(&o.MisleadingHealth, "", "health-lies", "the health endpoint always reports an idle server")
	command.String(&executionsFile, "", "executions", "file to which a line with the request id and the time in Unix microseconds is appended at the start of each execution")
	return verb{command, func(ctx context.Context) error {
		o.ServiceTime = time.Duration(serviceTimeMS) * time.Millisecond
		o.ColdStart = time.Duration(coldStartMS) * time.Millisecond
		o.DrainHold = time.Duration(drainHoldMS) * time.Millisecond
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
		if executionsFile != "" {
			file, err := os.OpenFile(executionsFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
			if err != nil {
				return eris.Wrap(err, "opening the executions file")
			}
			defer file.Close()
			o.ExecutionLog = file
		}
		server, err := backend.New(o)
		if err != nil {
			return err
		}
		return server.Run(ctx, backendShutdownGrace)
	}}
}
