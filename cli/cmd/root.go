// Package cmd implements laburnumctl, the operators' command line client. Each verb has its own file.
package cmd

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/integrii/flaggy"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
)

// Version is printed by --version. It can be set at build time with -ldflags -X.
var Version = "0.1.0"

// verb is one subcommand. register adds its flags to the subcommand and returns the function that runs it.
type verb struct {
	name     string
	summary  string
	examples []string
	register func(sc *flaggy.Subcommand) runFunc
}

type runFunc func(ctx context.Context, s *session) error

func verbs() []verb {
	return []verb{
		publishVerb(), amendVerb(), retireVerb(), rollbackVerb(),
		getVerb(), listVerb(), historyVerb(), diffVerb(),
		validateVerb(), renderVerb(),
		statusVerb(), explainVerb(), lossesVerb(), rolloutsVerb(), crashesVerb(), membersVerb(), whereVerb(), drainVerb(),
	}
}

// Run executes laburnumctl with the arguments after the program name and returns its exit code.
func Run(arguments []string, stdout, stderr io.Writer) (code int) {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	s := &session{stdout: stdout, stderr: stderr}
	defer recoverExit(&code)
	if len(arguments) == 0 || isHelp(arguments[0]) {
		fmt.Fprint(stdout, helpText())
		return ExitOK
	}
	run, err := parse(s, arguments)
	if err != nil {
		return s.reportError(err)
	}
	if err := s.prepare(); err != nil {
		return s.reportError(err)
	}
	return s.reportError(run(ctx, s))
}

func isHelp(argument string) bool {
	return argument == "help" || argument == "--help" || argument == "-h"
}

// flaggyExitFormat is the message of the panic with which flaggy reports the exit code if PanicInsteadOfExit is set.
const flaggyExitFormat = "Panic instead of exit with code: %d"

// recoverExit recovers flaggy's panic and stores its exit code. It panics again on any other cause.
func recoverExit(code *int) {
	recovered := recover()
	if recovered == nil {
		return
	}
	message, ok := recovered.(string)
	if !ok {
		panic(recovered)
	}
	if _, err := fmt.Sscanf(message, flaggyExitFormat, code); err != nil {
		panic(recovered)
	}
}

// parse returns the function of the selected verb. On invalid flags, flaggy prints the help of the verb and exits with code 2.
func parse(s *session, arguments []string) (runFunc, error) {
	flaggy.PanicInsteadOfExit = true
	parser := flaggy.NewParser("laburnumctl")
	parser.Version = Version
	parser.Description = "publishes configuration to a laburnumcleat mesh and shows its state"
	parser.ShowCompletion = false
	s.register(parser)
	type registered struct {
		command *flaggy.Subcommand
		run     runFunc
	}
	var subcommands []registered
	for _, v := range verbs() {
		command := flaggy.NewSubcommand(v.name)
		command.Description = v.summary
		command.AdditionalHelpAppend = "\n  Examples:\n    " + strings.Join(v.examples, "\n    ")
		subcommands = append(subcommands, registered{command, v.register(command)})
		parser.AttachSubcommand(command, 1)
	}
	parser.AdditionalHelpAppend = exitCodeHelp
	if err := parser.ParseArgs(arguments); err != nil {
		return nil, apierror.New(usageKind, err.Error(), "see laburnumctl <verb> --help")
	}
	for _, r := range subcommands {
		if r.command.Used {
			return r.run, nil
		}
	}
	return nil, apierror.New(usageKind, "missing verb", "see laburnumctl help")
}

func helpText() string {
	var text strings.Builder
	text.WriteString("laburnumctl publishes configuration to a laburnumcleat mesh and shows its state.\n\nVerbs:\n")
	for _, v := range verbs() {
		fmt.Fprintf(&text, "  %-10s %s\n", v.name, v.summary)
	}
	text.WriteString("\nUse \"laburnumctl <verb> --help\" for flags and examples.\n" + exitCodeHelp + "\n")
	return text.String()
}
