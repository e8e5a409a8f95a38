package main

import (
	"fmt"
	"os"
	"strings"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/savoryfold/savoryfold/api"
	"github.com/savoryfold/savoryfold/config"
)

func tablesCommand(s *session) *cobra.Command {
	root := &cobra.Command{
		Use:     "tables",
		Short:   "Show all tables, or load them from a file",
		Example: "  savoryfoldctl tables get > tables.ini\n  savoryfoldctl tables load tables.ini",
	}
	root.AddCommand(
		&cobra.Command{
			Use: "get", Short: "Show all sections as one file", Args: exactArgs(0),
			Example: "  savoryfoldctl tables get > tables.ini",
			RunE: s.withClient(func(cmd *cobra.Command, c *api.Client, _ []string) error {
				t, err := c.Tables(cmd.Context())
				if err != nil {
					return err
				}
				return s.print(cmd, t, func() string { return tablesText(t) })
			}),
		},
		loadTablesCommand(s),
	)
	return root
}

func tablesText(t api.Tables) string {
	texts := make([]string, len(t.Sections))
	for i, section := range t.Sections {
		texts[i] = section.AnnotatedText()
	}
	return strings.Join(texts, "\n")
}

func loadTablesCommand(s *session) *cobra.Command {
	var f editFlags
	cmd := &cobra.Command{
		Use:   "load FILE",
		Short: "Put every section of a file that differs from the active one",
		Long: "Put every section of a file that differs from the active one, with one edit each.\n\n" +
			"Sections that are not in the file are kept. Loading the same file again changes\nnothing.\n" +
			"A section with the comment \"# revision N\" is put only if that is still its\nrevision, or if no such section is active.",
		Args:    exactArgs(1),
		Example: "  savoryfoldctl tables load tables.ini",
		RunE: s.withClient(func(cmd *cobra.Command, c *api.Client, args []string) error {
			return s.load(cmd, c, &f, args[0])
		}),
	}
	cmd.Flags().DurationVar(&f.timeout, "timeout", callTimeout, "longest wait for the result of the edit of one section")
	cmd.Flags().DurationVar(&f.wait, "wait", callTimeout, "longest wait for the tables to be active on all instances")
	return cmd
}

// loadReport is the output of the command tables load.
type loadReport struct {
	Put       int          `json:"put"`
	Unchanged int          `json:"unchanged"`
	Revision  uint64       `json:"revision"`
	Applied   *api.Applied `json:"applied,omitempty"`
}

func (s *session) load(cmd *cobra.Command, c *api.Client, f *editFlags, path string) error {
	sections, err := readTables(path)
	if err != nil {
		return err
	}
	active, err := c.Tables(cmd.Context())
	if err != nil {
		return err
	}
	current := make(map[string]config.Section, len(active.Sections))
	for _, section := range active.Sections {
		current[section.Name] = section
	}
	out := loadReport{Revision: active.Revision}
	for _, section := range sections {
		old, exists := current[section.Name]
		if exists && sameBody(old, section) {
			out.Unchanged++
			continue
		}
		base := section.Revision
		if base == 0 || !exists {
			base = old.Revision
		}
		result, err := submit(cmd.Context(), c, f.timeout, config.Edit{Section: section.Name, Body: section.Body, Base: base})
		if err == nil {
			err = editResultError(section.Name, result)
		}
		if err != nil {
			return errors.Wrapf(err, "load stopped after %d sections were put", out.Put)
		}
		out.Put++
		out.Revision = result.Revision
	}
	out.Applied = waitApplied(cmd.Context(), c, out.Revision, f.wait)
	return s.print(cmd, out, out.text)
}

// readTables reads and validates a tables file.
func readTables(path string) ([]config.Section, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, exitError{err, exitUsage}
	}
	if _, err := config.ParseTables(path, text); err != nil {
		return nil, exitError{err, exitUsage}
	}
	sections, err := config.SplitSections(path, text)
	if err != nil {
		return nil, exitError{err, exitUsage}
	}
	return sections, nil
}

// sameBody reports whether an active section a has the same body as the section b
// of a file, apart from comments.
func sameBody(a, b config.Section) bool {
	split, err := config.SplitSections(a.Name, []byte(a.Text()))
	return err == nil && len(split) == 1 && split[0].Body == b.Body
}

func (o loadReport) text() string {
	text := fmt.Sprintf("%d sections put, %d unchanged, revision %d", o.Put, o.Unchanged, o.Revision)
	if o.Applied != nil {
		text += ", " + appliedText(*o.Applied)
	}
	return text + "\n"
}
