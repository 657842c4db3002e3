package commander

import (
	"github.com/ansel1/merry/v2"
	"github.com/spf13/cobra"

	"github.com/redwingpick/redwingpick/pkg/configurer"
)

// CheckResult is the result of checking one settings file; Fault is empty if the file is valid.
type CheckResult struct {
	File  string `json:"file"`
	Host  string `json:"host,omitempty"`
	Fault string `json:"fault,omitempty"`
}

func newCheckCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE...",
		Short: "Check settings files without contacting a host",
		Args:  cobra.MinimumNArgs(1),
		RunE:  func(_ *cobra.Command, files []string) error { return o.check(files) },
	}
}

func (o *options) check(files []string) error {
	results := make([]CheckResult, 0, len(files))
	invalid := 0
	for _, f := range files {
		result := CheckResult{File: f}
		settings, err := configurer.Read(f)
		if err != nil {
			result.Fault = err.Error()
			invalid++
		}
		result.Host = settings.HostID
		results = append(results, result)
	}
	err := o.print(results, func() {
		for _, r := range results {
			if r.Fault != "" {
				o.printf("%s\n", r.Fault)
				continue
			}
			o.printf("%s: settings of %s are valid\n", r.File, r.Host)
		}
	})
	if err != nil {
		return err
	}
	if invalid > 0 {
		return merry.Wrap(ErrUsage, merry.WithMessagef("%d of %d settings files are invalid", invalid, len(files)))
	}
	return nil
}
