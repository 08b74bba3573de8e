// Package cmd implements laburnumctl, the operators' command line. Each verb has a file of its own.
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

// Version is shown by --version. The build may set it.
var Version = "0.1.0"

// verb is one subcommand. Register adds its flags to the subcommand and returns the function that runs it.
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
		statusVerb(), explainVerb(), lossesVerb(), membersVerb(), drainVerb(),
	}
}

// Run executes laburnumctl with the arguments that follow the program's name and returns its exit code.
func Run(arguments []string, stdout, stderr io.Writer) (code int) {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	s := &session{stdout: stdout, stderr: stderr}
	defer recoverExit(&code)
	if len(arguments) == 0 || isHelp(arguments[0]) {
		fmt.Fprint(stdout, overview())
		return ExitOK
	}
	run, err := parse(s, arguments)
	if err != nil {
		return s.fail(err)
	}
	if err := s.prepare(); err != nil {
		return s.fail(err)
	}
	return s.fail(run(ctx, s))
}

func isHelp(argument string) bool {
	return argument == "help" || argument == "--help" || argument == "-h"
}

// exitText is how flaggy reports the exit code in the panic that takes the place of ending the process.
const exitText = "Panic instead of exit with code: %d"

// recoverExit turns flaggy's wish to end the process into an exit code.
func recoverExit(code *int) {
	cause := recover()
	if cause == nil {
		return
	}
	text, ok := cause.(string)
	if !ok {
		panic(cause)
	}
	if _, err := fmt.Sscanf(text, exitText, code); err != nil {
		panic(cause)
	}
}

// parse returns the function of the chosen verb. Wrong flags end in the help text of the verb and exit code 2.
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
	var all []registered
	for _, v := range verbs() {
		command := flaggy.NewSubcommand(v.name)
		command.Description = v.summary
		command.AdditionalHelpAppend = "\n  Examples:\n    " + strings.Join(v.examples, "\n    ")
		all = append(all, registered{command, v.register(command)})
		parser.AttachSubcommand(command, 1)
	}
	parser.AdditionalHelpAppend = exitCodeHelp
	if err := parser.ParseArgs(arguments); err != nil {
		return nil, apierror.New(usageKind, err.Error(), "see laburnumctl <verb> --help")
	}
	for _, r := range all {
		if r.command.Used {
			return r.run, nil
		}
	}
	return nil, apierror.New(usageKind, "no verb is given", "see laburnumctl help")
}

func overview() string {
	var text strings.Builder
	text.WriteString("laburnumctl publishes configuration to a laburnumcleat mesh and shows its state.\n\nVerbs:\n")
	for _, v := range verbs() {
		fmt.Fprintf(&text, "  %-10s %s\n", v.name, v.summary)
	}
	text.WriteString("\nUse \"laburnumctl <verb> --help\" for flags and examples.\n" + exitCodeHelp + "\n")
	return text.String()
}
