package commander

import (
	"io"
	"os"
	"strconv"
	"strings"

	"github.com/ansel1/merry/v2"
	"github.com/spf13/cobra"

	"github.com/redwingpick/redwingpick/internal/reducer"
)

// whereFlags holds the flags of the where command as they were given.
type whereFlags struct {
	operator string
	account  string
	keyFile  string
	model    string
	tokens   string
	prefix   string
	timeLeft int64
	json     bool
}

func newWhereCommand(o *options) *cobra.Command {
	var f whereFlags
	command := &cobra.Command{
		Use:   "where HOST/PATH",
		Short: "Show where a host would send a request now, and why; nothing is sent",
		Args:  cobra.ExactArgs(1),
		RunE:  func(_ *cobra.Command, args []string) error { return o.where(args[0], f) },
	}
	flags := command.Flags()
	flags.StringVar(&f.operator, "operator", "", "operator address of the host")
	flags.StringVar(&f.account, "account", "", "client account of the request")
	flags.StringVar(&f.keyFile, "key-file", "", "file with the key of the request, in place of an account; - for standard input")
	flags.StringVar(&f.model, "model", "", "MODEL/ADAPTER")
	flags.StringVar(&f.tokens, "tokens", "", "PROMPT,OUTPUT tokens")
	flags.StringVar(&f.prefix, "prefix", "", "prompt parts as ID:TOKENS,ID:TOKENS")
	flags.Int64Var(&f.timeLeft, "time-left-ms", 0, "time that the caller has left; 0 for the timeout of the route")
	flags.BoolVar(&f.json, "json", false, "the same as --output json")
	_ = command.MarkFlagRequired("operator")
	return command
}

func (o *options) where(target string, f whereFlags) error {
	query, err := o.whereQuery(target, f)
	if err != nil {
		return err
	}
	var w reducer.Where
	if err := postJSON(f.operator, "/v1/where", query, &w); err != nil {
		return err
	}
	if w.Fault != "" {
		return usageError(w.Fault)
	}
	if f.json {
		o.output = OutputJSON
	}
	return o.print(w, func() { o.printWhere(w) })
}

// whereQuery returns the question that the flags ask, or an error that names the invalid one.
func (o *options) whereQuery(target string, f whereFlags) (q reducer.WhereQuery, err error) {
	host, path, found := strings.Cut(target, "/")
	if !found || host == "" {
		return q, usageError("the request must be HOST/PATH")
	}
	q = reducer.WhereQuery{HostName: host, Path: "/" + path, Account: f.account, TimeLeftMs: f.timeLeft}
	if f.timeLeft < 0 {
		return q, usageError("flag --time-left-ms must not be negative")
	}
	q.Model, q.Adapter, _ = strings.Cut(f.model, "/")
	if q.PromptTokens, q.OutputTokens, err = parseTokens(f.tokens); err != nil {
		return q, err
	}
	if q.Parts, err = parseParts(f.prefix); err != nil {
		return q, err
	}
	if f.account != "" && f.keyFile != "" {
		return q, usageError("flags --account and --key-file exclude each other")
	}
	q.Key, err = o.readKey(f.keyFile)
	return q, err
}

// readKey reads a key from a file, or from standard input if the file is "-"; a key in the arguments would show in the list of processes.
func (o *options) readKey(file string) (string, error) {
	if file == "" {
		return "", nil
	}
	read := func() ([]byte, error) { return os.ReadFile(file) }
	if file == "-" {
		read = func() ([]byte, error) { return io.ReadAll(o.in) }
	}
	data, err := read()
	if err != nil {
		return "", usageError("flag --key-file: " + err.Error())
	}
	return strings.TrimSpace(string(data)), nil
}

// parseTokens decodes PROMPT,OUTPUT.
func parseTokens(text string) (prompt, output int, err error) {
	if text == "" {
		return 0, 0, nil
	}
	first, second, found := strings.Cut(text, ",")
	prompt, err = strconv.Atoi(first)
	if err == nil && found {
		output, err = strconv.Atoi(second)
	}
	if err != nil || !found || prompt < 0 || output < 0 {
		return 0, 0, usageError("flag --tokens must be PROMPT,OUTPUT")
	}
	return prompt, output, nil
}

// parseParts decodes ID:TOKENS pairs separated by commas.
func parseParts(text string) (parts []reducer.Part, err error) {
	if text == "" {
		return nil, nil
	}
	for pair := range strings.SplitSeq(text, ",") {
		id, count, found := strings.Cut(pair, ":")
		tokens, err := strconv.Atoi(count)
		if !found || err != nil || id == "" || tokens < 0 {
			return nil, usageError("flag --prefix must be ID:TOKENS,ID:TOKENS")
		}
		parts = append(parts, reducer.Part{ID: id, Tokens: tokens})
	}
	return parts, nil
}

func usageError(message string) error { return merry.Wrap(ErrUsage, merry.WithMessage(message)) }

func (o *options) printWhere(w reducer.Where) {
	o.printf("%s: %s", w.Host, w.Answer)
	if w.Backend != "" {
		o.printf(" %s", w.Backend)
	}
	if w.WaitsForTokens {
		o.printf(" after it has got tokens of the account")
	}
	if w.Reason != "" {
		o.printf(" (%s, retry after %d ms)", w.Reason, w.RetryAfterMs)
	}
	o.printf("\n  route %s, service %s, account %s, priority %d, target %.0f ms, deadline %.0f ms\n",
		w.Route, w.Service, w.Account, w.Priority, w.TargetMs, w.DeadlineMs)
	for _, c := range w.Candidates {
		o.printf("  %s: rank %d, %s, delay %.1f ms (work %.1f, adapter %.1f, failures %.1f), %.0f tokens/s, %d uncached tokens, running %d and %d of others",
			c.Backend, c.Rank, c.State, c.DelayMs, c.WorkMs, c.AdapterMs, c.FailureMs, c.ServiceRate, c.UncachedTokens, c.Running, c.OthersRunning)
		if c.AdapterStage != "" {
			o.printf(", adapter %s, holder %s", c.AdapterStage, c.Holder)
		}
		if c.StartLimit > 0 {
			o.printf(", limit %.1f", c.StartLimit)
		}
		if c.Held != "" {
			o.printf(", held for %.1f ms (%s)", c.HeldMs, c.Held)
		}
		o.printf("%s\n", boundText(c.BoundStatus))
	}
	for _, e := range w.Excluded {
		o.printf("  %s: excluded, %s", e.Backend, e.Why)
		if e.EndsMs > 0 {
			o.printf(", for %d ms", e.EndsMs)
		}
		o.printf("%s\n", boundText(e.BoundStatus))
	}
	if w.Unranked > 0 {
		o.printf("  %d more do not rank for the adapter\n", w.Unranked)
	}
}
