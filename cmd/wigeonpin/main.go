// Command wigeonpin is a rollout service for reinforcement learning, and the
// tool with which operators configure it. Run "wigeonpin --help" for its
// commands.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"
)

type commands struct {
	Serve   *serveCommand   `arg:"subcommand:serve" help:"run an instance"`
	Entry   *entryCommand   `arg:"subcommand:entry" help:"run an entry process on the platform"`
	Worker  *workerCommand  `arg:"subcommand:worker" help:"run a worker process on the platform"`
	History *historyCommand `arg:"subcommand:history" help:"gather the log lines that name an id from several logs"`
	Batches *batchesCommand `arg:"subcommand:batches" help:"tell from logs what became of each batch, and count the calls to the store"`
	Check   *checkCommand   `arg:"subcommand:check" help:"check a settings file and show the result with all defaults"`
	Version *versionCommand `arg:"subcommand:version" help:"show the version of this program"`
	Account *accountCommand `arg:"subcommand:account" help:"add, change or remove client accounts"`
	Key     *keyCommand     `arg:"subcommand:key" help:"make and withdraw keys of client accounts"`
	Trainer *trainerCommand `arg:"subcommand:trainer" help:"add, change or remove trainers"`
	Route   *routeCommand   `arg:"subcommand:route" help:"add, change or remove routes to plain services"`
	Model   *modelCommand   `arg:"subcommand:model" help:"add, change or remove models and plain services"`
	Zone    *zoneCommand    `arg:"subcommand:zone" help:"take an availability zone out of service or put it back"`
	Row     *rowCommand     `arg:"subcommand:row" help:"show or edit any row of the table as JSON"`
	Status  *statusCommand  `arg:"subcommand:status" help:"show the state of an instance"`
}

// Description is shown at the top of the help.
func (commands) Description() string {
	return "wigeonpin serves rollouts for reinforcement learning, and this program also configures it."
}

// Epilogue is shown at the end of the help.
func (commands) Epilogue() string {
	return `The commands that read or change the table talk to the operator address of any
instance. They take it from --operator or WIGEONPIN_OPERATOR, and the operator
key from the variable WIGEONPIN_OPERATOR_KEY, so that it does not show in the
process list. Examples:

  export WIGEONPIN_OPERATOR=127.0.0.1:7003 WIGEONPIN_OPERATOR_KEY=...
  wigeonpin account set acme --weight 2
  wigeonpin key add acme
  wigeonpin zone out zone-a`
}

// command is one parsed subcommand.
type command interface {
	run(ctx context.Context) error
}

// chosen returns the command given on the command line, or nil.
func (c *commands) chosen() command {
	switch {
	case c.Serve != nil:
		return c.Serve
	case c.Entry != nil:
		return c.Entry
	case c.Worker != nil:
		return c.Worker
	case c.History != nil:
		return c.History
	case c.Batches != nil:
		return c.Batches
	case c.Check != nil:
		return c.Check
	case c.Version != nil:
		return c.Version
	case c.Account != nil:
		return c.Account
	case c.Key != nil:
		return c.Key
	case c.Trainer != nil:
		return c.Trainer
	case c.Route != nil:
		return c.Route
	case c.Model != nil:
		return c.Model
	case c.Zone != nil:
		return c.Zone
	case c.Row != nil:
		return c.Row
	case c.Status != nil:
		return c.Status
	}
	return nil
}

func main() {
	var args commands
	parser, err := arg.NewParser(arg.Config{Program: "wigeonpin"}, &args)
	if err != nil {
		fatal(err)
	}
	parser.MustParse(os.Args[1:])
	chosen := args.chosen()
	if chosen == nil {
		parser.WriteHelp(os.Stderr)
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err = chosen.run(ctx)
	if errors.Is(err, errNoSubcommand) {
		_ = parser.WriteHelpForSubcommand(os.Stderr, parser.SubcommandNames()...)
		os.Exit(2)
	}
	if err != nil {
		fatal(err)
	}
}

// fatal prints an error and exits, after a conflicting edit with status 3,
// otherwise with status 1.
func fatal(err error) {
	fmt.Fprintln(os.Stderr, "wigeonpin:", err)
	if errors.Is(err, errConflict) {
		os.Exit(3)
	}
	os.Exit(1)
}
