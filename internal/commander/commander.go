package commander

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/spf13/cobra"
)

// requestTimeout bounds one request to a host.
const requestTimeout = 5 * time.Second

// ErrUsage is returned when the command line or a file is invalid; the client then exits with 2.
var ErrUsage = merry.New("invalid command line or file")

// ErrHost is returned when a host does not respond or its response is invalid; the client then exits with 1.
var ErrHost = merry.New("request to host failed")

// ErrNotFound is returned when no line of the logs is about the request; the client then exits with 1.
var ErrNotFound = merry.New("request not found")

// Output formats.
const (
	OutputText = "text"
	OutputJSON = "json"
)

// options holds the flags that all commands share.
type options struct {
	output string
	in     io.Reader
	out    io.Writer
}

// New returns the root command, which reads logs from in when a log file is named "-", and writes to out.
func New(in io.Reader, out io.Writer) *cobra.Command {
	o := &options{in: in, out: out}
	root := &cobra.Command{
		Use:           "redwingpick",
		Short:         "Operate a redwingpick fleet",
		SilenceUsage:  true,
		SilenceErrors: true,
		PersistentPreRunE: func(*cobra.Command, []string) error {
			if o.output != OutputText && o.output != OutputJSON {
				return merry.Wrap(ErrUsage, merry.WithMessage("flag --output must be text or json"))
			}
			return nil
		},
	}
	root.SetOut(out)
	root.PersistentFlags().StringVar(&o.output, "output", OutputText, "text or json")
	root.AddCommand(newCheckCommand(o), newStatusCommand(o), newAccountsCommand(o), newMetricsCommand(o), newEventsCommand(o),
		newExplainCommand(o), newWhereCommand(o))
	return root
}

// print writes value as JSON if the output format is JSON, and calls text otherwise.
func (o *options) print(value any, text func()) error {
	if o.output == OutputJSON {
		encoder := json.NewEncoder(o.out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	text()
	return nil
}

func (o *options) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(o.out, format, args...)
}

// getJSON requests path from the operator address of a host and decodes the JSON response into value.
func getJSON(address, path string, value any) error {
	client := &http.Client{Timeout: requestTimeout}
	response, err := client.Get("http://" + address + path)
	return decodeResponse(address, response, err, value)
}

// postJSON sends a question as JSON to path at the operator address of a host and decodes the JSON response into value.
func postJSON(address, path string, question, value any) error {
	body, err := json.Marshal(question)
	if err != nil {
		return merry.Wrap(ErrUsage, merry.WithCause(err))
	}
	client := &http.Client{Timeout: requestTimeout}
	response, err := client.Post("http://"+address+path, "application/json", bytes.NewReader(body))
	return decodeResponse(address, response, err, value)
}

// decodeResponse decodes the JSON response of a host into value, unless the request failed with err.
func decodeResponse(address string, response *http.Response, err error, value any) error {
	if err != nil {
		return merry.Wrap(ErrHost, merry.WithCause(err))
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return merry.Wrap(ErrHost, merry.WithMessagef("host %s responded with status %s", address, response.Status))
	}
	if err := json.NewDecoder(response.Body).Decode(value); err != nil {
		return merry.Wrap(ErrHost, merry.WithCause(err))
	}
	return nil
}
