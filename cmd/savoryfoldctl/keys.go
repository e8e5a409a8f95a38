package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/savoryfold/savoryfold/peer"
)

// Names of the authority's files in the folder of the flag --dir.
const (
	authorityCertFile = "ca.pem"
	authorityKeyFile  = "ca-key.pem"
)

// Default validity of certificates.
const (
	authorityValidity   = 10 * 365 * 24 * time.Hour
	certificateValidity = 90 * 24 * time.Hour
)

func keysCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:     "keys",
		Short:   "Create the certificates with which instances authenticate to each other",
		Example: "  savoryfoldctl keys authority rota-2026 --dir keys\n  savoryfoldctl keys issue hobart-1 --dir keys",
	}
	cmd.PersistentFlags().String("dir", ".", "folder for the files of the authority and the instances")
	cmd.AddCommand(keysAuthorityCommand(), keysIssueCommand())
	return cmd
}

func keysAuthorityCommand() *cobra.Command {
	var validity time.Duration
	cmd := &cobra.Command{
		Use:     "authority NAME",
		Short:   "Create a certificate authority: " + authorityCertFile + " for [peer] tls_ca, and " + authorityKeyFile + ", which operators keep secret",
		Example: "  savoryfoldctl keys authority rota-2026 --dir keys",
		Args:    exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			a, err := peer.NewAuthority(args[0], validity)
			if err != nil {
				return err
			}
			return writePair(cmd, authorityCertFile, a.CertPEM, authorityKeyFile, a.KeyPEM)
		},
	}
	cmd.Flags().DurationVar(&validity, "valid", authorityValidity, "time for which the certificate is valid")
	return cmd
}

func keysIssueCommand() *cobra.Command {
	var validity time.Duration
	cmd := &cobra.Command{
		Use:     "issue INSTANCE",
		Short:   "Create an instance's certificate and key for [peer] tls_cert and tls_key",
		Example: "  savoryfoldctl keys issue hobart-1 --dir keys",
		Args:    exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			a, err := readAuthority(cmd)
			if err != nil {
				return err
			}
			pair, err := a.Issue(args[0], validity)
			if err != nil {
				return err
			}
			return writePair(cmd, args[0]+".pem", pair.CertPEM, args[0]+"-key.pem", pair.KeyPEM)
		},
	}
	cmd.Flags().DurationVar(&validity, "valid", certificateValidity, "time for which the certificate is valid")
	return cmd
}

// readAuthority reads the authority from the folder of the flag --dir.
func readAuthority(cmd *cobra.Command) (*peer.Authority, error) {
	dir, err := cmd.Flags().GetString("dir")
	if err != nil {
		return nil, err
	}
	cert, err := os.ReadFile(filepath.Join(dir, authorityCertFile))
	if err != nil {
		return nil, exitError{errors.Wrap(err, "authority"), exitUsage}
	}
	key, err := os.ReadFile(filepath.Join(dir, authorityKeyFile))
	if err != nil {
		return nil, exitError{errors.Wrap(err, "authority"), exitUsage}
	}
	return peer.LoadAuthority(cert, key)
}

// writePair writes a certificate and its key. It never overwrites a file.
func writePair(cmd *cobra.Command, certName string, cert []byte, keyName string, key []byte) error {
	dir, err := cmd.Flags().GetString("dir")
	if err != nil {
		return err
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	if err := writeNewFile(filepath.Join(dir, keyName), key, 0o600); err != nil {
		return err
	}
	if err := writeNewFile(filepath.Join(dir, certName), cert, 0o644); err != nil {
		return err
	}
	fmt.Fprintf(cmd.OutOrStdout(), "wrote %s and %s\n", filepath.Join(dir, certName), filepath.Join(dir, keyName))
	return nil
}

func writeNewFile(path string, data []byte, mode os.FileMode) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return exitError{err, exitUsage}
	}
	if _, err := f.Write(data); err != nil {
		f.Close()
		return err
	}
	return f.Close()
}
