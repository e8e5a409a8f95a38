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

// sectionCommand returns the commands for one kind of section, such as routes.
func sectionCommand(s *session, kind string) *cobra.Command {
	plural := kind + "s"
	root := &cobra.Command{
		Use:     plural,
		Short:   "List, show, put and delete " + plural,
		Example: "  savoryfoldctl " + plural + " list",
	}
	root.AddCommand(
		&cobra.Command{
			Use: "list", Short: "List " + plural + " with their revisions", Args: exactArgs(0),
			Example: "  savoryfoldctl " + plural + " list",
			RunE:    s.withClient(func(cmd *cobra.Command, c *api.Client, _ []string) error { return s.list(cmd, c, kind) }),
		},
		&cobra.Command{
			Use: "get NAME", Short: "Show a " + kind + " in the format that put reads", Args: exactArgs(1),
			Example: "  savoryfoldctl " + plural + " get NAME > NAME.ini",
			RunE: s.withClient(func(cmd *cobra.Command, c *api.Client, args []string) error {
				section, err := c.Section(cmd.Context(), kind+" "+args[0])
				if err != nil {
					return err
				}
				return s.print(cmd, section, section.AnnotatedText)
			}),
		},
		putCommand(s, kind), deleteCommand(s, kind),
	)
	return root
}

func (s *session) list(cmd *cobra.Command, c *api.Client, kind string) error {
	t, err := c.Tables(cmd.Context())
	if err != nil {
		return err
	}
	list := []config.Section{}
	var text strings.Builder
	for _, section := range t.Sections {
		if string(section.Kind()) == kind {
			list = append(list, section)
			fmt.Fprintf(&text, "%-40s revision %-8d %s\n", strings.TrimPrefix(section.Name, kind+" "), section.Revision, section.EditedBy)
		}
	}
	return s.print(cmd, list, text.String)
}

func putCommand(s *session, kind string) *cobra.Command {
	var f editFlags
	cmd := &cobra.Command{
		Use:   "put FILE",
		Short: "Create or replace the " + kind + " in a file",
		Long: "Create or replace the " + kind + " in a file.\n\nThe comment \"# revision N\" above the heading, as written by get, is the revision that the\n" +
			"edit is based on; without it the " + kind + " must be new.",
		Args:    exactArgs(1),
		Example: "  savoryfoldctl " + kind + "s put NAME.ini",
		RunE: s.withClient(func(cmd *cobra.Command, c *api.Client, args []string) error {
			section, err := readSection(args[0], kind)
			if err != nil {
				return err
			}
			base, err := f.baseOr(section.Revision)
			if err != nil {
				return err
			}
			return s.edit(cmd, c, &f, config.Edit{Section: section.Name, Body: section.Body, Base: base})
		}),
	}
	f.add(cmd)
	return cmd
}

// readSection reads a file with exactly one section, of the given kind.
func readSection(path, kind string) (config.Section, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return config.Section{}, exitError{err, exitUsage}
	}
	sections, err := config.SplitSections(path, text)
	if err != nil {
		return config.Section{}, exitError{err, exitUsage}
	}
	if len(sections) != 1 || string(sections[0].Kind()) != kind {
		return config.Section{}, exitError{errors.Errorf("%s: want one section [%s NAME]", path, kind), exitUsage}
	}
	return sections[0], nil
}

func deleteCommand(s *session, kind string) *cobra.Command {
	var f editFlags
	cmd := &cobra.Command{
		Use:     "delete NAME",
		Short:   "Delete a " + kind,
		Args:    exactArgs(1),
		Example: "  savoryfoldctl " + kind + "s delete NAME --base 17",
		RunE: s.withClient(func(cmd *cobra.Command, c *api.Client, args []string) error {
			section, err := c.Section(cmd.Context(), kind+" "+args[0])
			if err != nil {
				return err
			}
			base, err := f.baseOr(section.Revision)
			if err != nil {
				return err
			}
			return s.edit(cmd, c, &f, config.Edit{Section: section.Name, Delete: true, Base: base})
		}),
	}
	f.add(cmd)
	return cmd
}
