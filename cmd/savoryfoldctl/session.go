package main

import (
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/savoryfold/savoryfold/api"
)

// Environment variables that are used if the flag is not set.
const (
	envServer = "SAVORYFOLD_SERVER"
	envToken  = "SAVORYFOLD_TOKEN"
)

const (
	defaultServer = "http://127.0.0.1:9090"
	callTimeout   = 15 * time.Second
)

// session holds the flags that all commands share. It creates the API client.
type session struct {
	server    string
	tokenFile string
	ca        string
	json      bool
}

func (s *session) addFlags(root *cobra.Command) {
	f := root.PersistentFlags()
	f.StringVar(&s.server, "server", "", "URL of an instance's administration API (environment "+envServer+"; default "+defaultServer+")")
	f.StringVar(&s.tokenFile, "token-file", "", "file with the operator's token (environment "+envToken+" holds the token itself)")
	f.StringVar(&s.ca, "ca", "", "file with the CA certificates (PEM) to verify the server's certificate")
	f.BoolVar(&s.json, "json", false, "print results as JSON")
}

// client creates an API client from the flags and the environment.
func (s *session) client() (*api.Client, error) {
	token := os.Getenv(envToken)
	if s.tokenFile != "" {
		text, err := os.ReadFile(s.tokenFile)
		if err != nil {
			return nil, exitError{errors.Wrap(err, "--token-file"), exitUsage}
		}
		token = string(text)
	}
	c := &api.Client{BaseURL: s.server, Token: strings.TrimSpace(token), HTTP: &http.Client{Timeout: callTimeout}}
	if c.BaseURL == "" {
		c.BaseURL = os.Getenv(envServer)
	}
	if c.BaseURL == "" {
		c.BaseURL = defaultServer
	}
	if s.ca == "" {
		return c, nil
	}
	pem, err := os.ReadFile(s.ca)
	if err != nil {
		return nil, exitError{errors.Wrap(err, "--ca"), exitUsage}
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, exitError{errors.Errorf("--ca: no certificate in %s", s.ca), exitUsage}
	}
	c.HTTP.Transport = &http.Transport{TLSClientConfig: &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS12}}
	return c, nil
}

// action is the body of a command that uses the API.
type action func(cmd *cobra.Command, c *api.Client, args []string) error

// withClient returns a cobra function that runs f with an API client.
func (s *session) withClient(f action) func(*cobra.Command, []string) error {
	return func(cmd *cobra.Command, args []string) error {
		c, err := s.client()
		if err != nil {
			return err
		}
		defer c.HTTP.CloseIdleConnections()
		return f(cmd, c, args)
	}
}

// print prints a result as JSON if the flag --json is set, otherwise as text.
func (s *session) print(cmd *cobra.Command, result any, text func() string) error {
	if !s.json {
		fmt.Fprint(cmd.OutOrStdout(), text())
		return nil
	}
	return printJSON(cmd, result)
}

func printJSON(cmd *cobra.Command, result any) error {
	enc := json.NewEncoder(cmd.OutOrStdout())
	enc.SetIndent("", "  ")
	return errors.Wrap(enc.Encode(result), "output")
}
