// Command savoryfoldd runs one entry instance of savoryfold.
//
// Exit codes: 0 after a graceful stop, 1 if the instance failed, 2 if the
// settings or the arguments are invalid.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/savoryfold/savoryfold/config"
	"github.com/savoryfold/savoryfold/internal/version"
	"github.com/savoryfold/savoryfold/kernel"
	_ "github.com/savoryfold/savoryfold/plugins/standard"
)

const (
	// settingsEnv is the environment variable with the path of the settings file.
	// It is used where the platform starts the process without arguments.
	settingsEnv = "SAVORYFOLD_SETTINGS"

	exitFailed   = 1
	exitSettings = 2
)

// settingsError is an error in the settings or the arguments.
type settingsError struct{ error }

func main() {
	err := command().Execute()
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, err)
	var bad settingsError
	if errors.As(err, &bad) {
		os.Exit(exitSettings)
	}
	os.Exit(exitFailed)
}

func command() *cobra.Command {
	var path string
	var set []string
	var check, list bool
	cmd := &cobra.Command{
		Use:           "savoryfoldd --settings FILE",
		Short:         "Entry instance of savoryfold",
		Long:          "savoryfoldd serves requests of callers on the routes and pools of savoryfold.\n\nSIGTERM and SIGINT stop it gracefully; SIGHUP reloads the settings; SIGUSR1 writes a dump of its state to standard error.",
		Example:       "  savoryfoldd --settings hobart-1.ini\n  savoryfoldd --settings hobart-1.ini --check\n  savoryfoldd --list-settings",
		Version:       version.Version,
		Args:          cobra.NoArgs,
		SilenceErrors: true,
		SilenceUsage:  true,
		RunE: func(*cobra.Command, []string) error {
			if list {
				printSettings()
				return nil
			}
			return run(path, set, check)
		},
	}
	cmd.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return settingsError{err} })
	cmd.Flags().StringVar(&path, "settings", os.Getenv(settingsEnv), "settings file (INI); the default is the value of "+settingsEnv)
	cmd.Flags().StringArrayVar(&set, "set", nil, "SECTION.NAME=VALUE: use the value in place of that of the settings file, unless it is empty; may be repeated")
	cmd.Flags().BoolVar(&check, "check", false, "check the settings and exit")
	cmd.Flags().BoolVar(&list, "list-settings", false, "list every setting with its default and exit")
	return cmd
}

func printSettings() {
	for _, k := range kernel.Schema().Keys() {
		def := k.Default
		if k.Required {
			def = "(required)"
		}
		fmt.Printf("[%s] %s = %s\n    %s; %s\n", k.Section, k.Name, def, k.Accepts(), k.Doc)
	}
}

// parseOverrides parses the values of --set.
func parseOverrides(texts []string) ([]config.Override, error) {
	overrides := make([]config.Override, 0, len(texts))
	for _, text := range texts {
		o, err := config.ParseOverride(text)
		if err != nil {
			return nil, settingsError{errors.Wrap(err, "--set")}
		}
		overrides = append(overrides, o)
	}
	return overrides, nil
}

func run(path string, set []string, check bool) error {
	if path == "" {
		return settingsError{errors.New("no settings file: want --settings FILE, or its path in " + settingsEnv)}
	}
	overrides, err := parseOverrides(set)
	if err != nil {
		return err
	}
	load := func() (*config.Settings, error) { return kernel.Schema().LoadFile(path, overrides...) }
	// Signals are handled from here on, also while the settings are read. Their
	// default action would terminate the process.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	settings, err := load()
	if err != nil {
		return settingsError{err}
	}
	output := os.Stdout
	if settings.String("log", "output") == "stderr" {
		output = os.Stderr
	}
	writer := kernel.NewAsyncWriter(output)
	defer writer.Close()
	logger, level := kernel.NewLogger(settings, writer)
	in, err := kernel.NewInstance(settings, logger, level)
	if err != nil {
		return settingsError{err}
	}
	if check {
		fmt.Println("settings are valid")
		return nil
	}
	go dumpOnSignal(ctx, in)
	go reloadOnSignal(ctx, hangups, load, settings, level, logger)
	logger.Info("starting", "version", version.Version, "settings", path, "pid", os.Getpid())
	err = in.Run(ctx)
	var faults config.Faults
	if errors.As(err, &faults) {
		return settingsError{err}
	}
	return err
}

// reloadOnSignal reloads the settings on every SIGHUP. A changed log level takes
// effect immediately, all other changes at the next start. Invalid settings are
// logged and ignored.
func reloadOnSignal(ctx context.Context, hangups <-chan os.Signal, load func() (*config.Settings, error), active *config.Settings, level *slog.LevelVar, logger *slog.Logger) {
	for {
		select {
		case <-hangups:
			reloaded, err := load()
			if err != nil {
				logger.Error("settings are invalid, keeping the active ones", "error", err)
				continue
			}
			if err := level.UnmarshalText([]byte(reloaded.String("log", "level"))); err != nil {
				logger.Error("log level is invalid, keeping the active one", "error", err)
			}
			logger.Info("settings reloaded", "with_next_start", config.Changed(active, reloaded))
		case <-ctx.Done():
			return
		}
	}
}

// dumpOnSignal writes a dump of the state to standard error on every SIGUSR1.
func dumpOnSignal(ctx context.Context, in *kernel.Instance) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGUSR1)
	defer signal.Stop(signals)
	for {
		select {
		case <-signals:
			enc := json.NewEncoder(os.Stderr)
			enc.SetIndent("", "  ")
			_ = enc.Encode(in.Dump())
		case <-ctx.Done():
			return
		}
	}
}
