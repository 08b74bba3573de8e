package cmd

import (
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"

	"github.com/integrii/flaggy"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
	"github.com/laburnumcleat/laburnumcleat/pkg/operator"
)

// Environment variables that provide defaults for flags.
const (
	envAPI       = "LABURNUM_API"
	envTokenFile = "LABURNUM_TOKEN_FILE"
)

const (
	outputText = "text"
	outputJSON = "json"

	maxTokenFileBytes = 4 << 10
)

// session holds the state that all verbs share: the common flags, the client and the output streams.
type session struct {
	stdout, stderr io.Writer

	api       string
	tokenFile string
	caFile    string
	output    string

	client *operator.Client
}

func (s *session) register(parser *flaggy.Parser) {
	s.api = os.Getenv(envAPI)
	s.tokenFile = os.Getenv(envTokenFile)
	s.output = outputText
	parser.String(&s.api, "a", "api", "addresses of nodes, ip:port or https://ip:port, separated by commas; reads fail over to the next (env "+envAPI+")")
	parser.String(&s.tokenFile, "t", "token-file", "file with the operator's token (env "+envTokenFile+")")
	parser.String(&s.caFile, "", "ca-file", "PEM file with the certificates that https addresses are verified against; default: the system's")
	parser.String(&s.output, "o", "output", "text or json")
}

// prepare validates the common flags and creates the client.
func (s *session) prepare() error {
	if s.output != outputText && s.output != outputJSON {
		return usageError("output", "unknown output "+s.output, "use text or json")
	}
	token, err := s.readToken()
	if err != nil {
		return err
	}
	transport := &http.Transport{}
	if s.caFile != "" {
		roots, err := readRoots(s.caFile)
		if err != nil {
			return err
		}
		transport.TLSClientConfig = &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS12}
	}
	s.client = operator.NewClient(strings.Split(s.api, ","), token, transport)
	return nil
}

func (s *session) readToken() (string, error) {
	if s.tokenFile == "" {
		return "", nil
	}
	data, err := readFile(s.tokenFile, maxTokenFileBytes)
	if err != nil {
		return "", usageError("token-file", err.Error(), "pass a readable file that contains only the token")
	}
	token := strings.TrimSpace(string(data))
	if token == "" || strings.ContainsAny(token, "\r\n") {
		return "", usageError("token-file", s.tokenFile+" does not contain exactly one line", "store only the token in it")
	}
	return token, nil
}

func readRoots(path string) (*x509.CertPool, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, usageError("ca-file", err.Error(), "pass a readable PEM file")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(data) {
		return nil, usageError("ca-file", path+" contains no certificate", "pass a PEM file with certificates")
	}
	return roots, nil
}

// readFile reads a file of up to limit bytes. "-" is standard input.
func readFile(path string, limit int64) ([]byte, error) {
	source := io.Reader(os.Stdin)
	if path != "-" {
		file, err := os.Open(path)
		if err != nil {
			return nil, err
		}
		defer file.Close()
		source = file
	}
	data, err := io.ReadAll(io.LimitReader(source, limit+1))
	if err == nil && int64(len(data)) > limit {
		err = fmt.Errorf("%s exceeds %d bytes", path, limit)
	}
	return data, err
}

func (s *session) json() bool {
	return s.output == outputJSON
}

// print writes the value as JSON with --output json, and otherwise calls text.
func (s *session) print(value any, text func(out io.Writer)) error {
	if !s.json() {
		text(s.stdout)
		return nil
	}
	encoder := json.NewEncoder(s.stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

func usageError(field, message, remedy string) *apierror.Error {
	return &apierror.Error{Kind: usageKind, Field: "--" + field, Message: message, Remedy: remedy}
}
