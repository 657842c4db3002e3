package commander

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/spf13/cobra"
)

const readTimeout = 5 * time.Second

// ErrUsage is returned when the command line or a file is wrong; the client then exits with 2.
var ErrUsage = merry.New("usage")

// ErrHost is returned when a host does not answer as it should; the client then exits with 1.
var ErrHost = merry.New("host failed")

// ErrNotFound is returned when the logs do not name a request; the client then exits with 1.
var ErrNotFound = merry.New("not found")

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

// New returns the root command, which reads logs from in and writes to out.
func New(in io.Reader, out io.Writer) *cobra.Command {
	o := &options{in: in, out: out}
	root := &cobra.Command{
		Use:           "redwingpick",
		Short:         "Operate a redwingpick fleet",
		SilenceUsage:  true,
		SilenceErrors: true,
		PersistentPreRunE: func(*cobra.Command, []string) error {
			if o.output != OutputText && o.output != OutputJSON {
				return merry.Wrap(ErrUsage, merry.WithMessage("--output must be text or json"))
			}
			return nil
		},
	}
	root.SetOut(out)
	root.PersistentFlags().StringVar(&o.output, "output", OutputText, "text or json")
	root.AddCommand(newCheck(o), newStatus(o), newAccounts(o), newMetrics(o), newEvents(o), newExplain(o))
	return root
}

// print writes value as JSON, or calls text.
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

// getJSON reads a JSON answer of a host.
func getJSON(address, path string, value any) error {
	client := &http.Client{Timeout: readTimeout}
	response, err := client.Get("http://" + address + path)
	if err != nil {
		return merry.Wrap(ErrHost, merry.WithCause(err))
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return merry.Wrap(ErrHost, merry.WithMessagef("%s answered %s", address, response.Status))
	}
	if err := json.NewDecoder(response.Body).Decode(value); err != nil {
		return merry.Wrap(ErrHost, merry.WithCause(err))
	}
	return nil
}
