package commander

import (
	"context"
	"io"
	"net/http"
	"os"

	"github.com/ansel1/merry/v2"
	"github.com/spf13/cobra"

	"github.com/redwingpick/redwingpick/internal/watcher"
	"github.com/redwingpick/redwingpick/pkg/caller"
)

type requestFlags struct {
	hosts     []string
	key       string
	model     string
	service   string
	prompt    string
	maxTokens int
}

func newRequest(o *options) *cobra.Command {
	var f requestFlags
	command := &cobra.Command{
		Use:   "request",
		Short: "Send one request and print its answer as it comes",
		Args:  cobra.NoArgs,
		RunE:  func(*cobra.Command, []string) error { return o.request(f) },
	}
	flags := command.Flags()
	flags.StringSliceVar(&f.hosts, "host", nil, "addresses of hosts")
	flags.StringVar(&f.key, "key", os.Getenv("REDWINGPICK_KEY"), "key of the client account, by default from REDWINGPICK_KEY")
	flags.StringVar(&f.model, "model", "", "adapter")
	flags.StringVar(&f.service, "service", "", "plain service")
	flags.StringVar(&f.prompt, "prompt", "", "prompt, or body of the call")
	flags.IntVar(&f.maxTokens, "max-tokens", 32, "most tokens of the answer")
	_ = command.MarkFlagRequired("host")
	command.MarkFlagsOneRequired("model", "service")
	command.MarkFlagsMutuallyExclusive("model", "service")
	return command
}

func (o *options) request(f requestFlags) error {
	client := &caller.Client{Addresses: f.hosts, Key: f.key, HTTP: &http.Client{}}
	var answer caller.Answer
	var err error
	if f.service != "" {
		answer, err = client.Call(context.Background(), f.service, []byte(f.prompt))
	} else {
		if o.output == OutputText {
			client.OnText = func(text string) { o.printf("%s", text) }
		}
		answer, err = client.Complete(context.Background(), f.model, f.prompt, f.maxTokens)
	}
	if err != nil {
		return merry.Wrap(ErrHost, merry.WithMessage(err.Error()))
	}
	return o.print(answer, func() {
		o.printf("%s\nhost %s  backend server %s  version %s  tries %d\n", answer.Body, answer.Host, answer.BackendServer, answer.Version, answer.Tries)
	})
}

func (o *options) catalogueGet(platform string, args []string) error {
	if len(args) == 0 {
		var index watcher.Index
		if err := getJSON(platform, "/v1/keys", &index); err != nil {
			return err
		}
		return o.print(index, func() {
			for name, revision := range index.Keys {
				o.printf("%-20s %d\n", name, revision)
			}
		})
	}
	client := &http.Client{Timeout: readTimeout}
	response, err := client.Get("http://" + platform + "/v1/values/" + args[0])
	if err != nil {
		return merry.Wrap(ErrHost, merry.WithCause(err))
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return merry.Wrap(ErrHost, merry.WithMessagef("status %d", response.StatusCode))
	}
	_, err = io.Copy(o.out, response.Body)
	return err
}
