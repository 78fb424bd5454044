package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"encoding/json"

	"github.com/google/uuid"

	"github.com/quetzalweir/quetzalweir/config"
	"github.com/quetzalweir/quetzalweir/internal/entry"
	"github.com/quetzalweir/quetzalweir/internal/wait"
	"github.com/quetzalweir/quetzalweir/manifest"
)

type manifestCmd struct {
	Check   manifestCheckCmd   `cmd:"" help:"Check a manifest and print all its faults."`
	Submit  manifestSubmitCmd  `cmd:"" help:"Submit a manifest."`
	Show    manifestShowCmd    `cmd:"" help:"Print the manifest in force, or that of an epoch."`
	History manifestHistoryCmd `cmd:"" help:"List the accepted manifests."`
	Diff    manifestDiffCmd    `cmd:"" help:"Print what differs between two manifest files."`
	Digest  manifestDigestCmd  `cmd:"" help:"Print a manifest's digest, as the next one names it."`
	Schema  manifestSchemaCmd  `cmd:"" help:"Print the JSON Schema of the manifest."`
	InForce manifestInForceCmd `cmd:"" help:"Tell which hosts have an epoch in force."`
}

// errInvalidManifest is returned after the problems of a manifest were printed.
var errInvalidManifest = errors.New("the manifest is invalid")

func readManifest(s *streams, path string) ([]byte, *manifest.Document, error) {
	data, err := readFile(path)
	if err != nil {
		return nil, nil, err
	}
	doc, err := manifest.Parse(data)
	var problems manifest.Errors
	if errors.As(err, &problems) {
		printProblems(s.err, problems)
		return nil, nil, errInvalidManifest
	}
	return data, doc, err
}

func readFile(path string) ([]byte, error) {
	if path == "-" {
		return io.ReadAll(io.LimitReader(os.Stdin, manifest.MaxDocumentBytes+1))
	}
	return os.ReadFile(path)
}

type manifestCheckCmd struct {
	File string `arg:"" help:"The manifest; - reads standard input."`
}

// Run implements the command.
func (c *manifestCheckCmd) Run(s *streams) error {
	data, doc, err := readManifest(s, c.File)
	if err != nil {
		return err
	}
	fmt.Fprintf(s.out, "ok: %d models, %d accounts, digest %s\n", len(doc.Models), len(doc.Accounts), manifest.Digest(data))
	return nil
}

type manifestDigestCmd struct {
	File string `arg:"" help:"The manifest; - reads standard input."`
}

// Run implements the command.
func (c *manifestDigestCmd) Run(s *streams) error {
	data, _, err := readManifest(s, c.File)
	if err != nil {
		return err
	}
	fmt.Fprintln(s.out, manifest.Digest(data))
	return nil
}

type manifestSubmitCmd struct {
	operatorFlags
	File  string        `arg:"" help:"The manifest; - reads standard input."`
	Token string        `help:"Token of this submission, the same in each retry; made up if empty." env:"-"`
	Wait  time.Duration `help:"How long to wait until all hosts have it in force." default:"10s" env:"-"`
}

// maxSubmitAttempts is how often a manifest is submitted while the outcome is
// unknown.
const maxSubmitAttempts = 5

// Run implements the command.
func (c *manifestSubmitCmd) Run(ctx context.Context, s *streams) error {
	data, _, err := readManifest(s, c.File)
	if err != nil {
		return err
	}
	if c.Token == "" {
		c.Token = uuid.NewString()
	}
	response, err := c.submit(ctx, data)
	if err != nil {
		return err
	}
	fmt.Fprintf(s.out, "accepted: epoch %d, digest %s, already %t\n", response.Head.Epoch, response.Head.Digest, response.Already)
	return waitInForce(ctx, s, c.client(), response.Head.Epoch, c.Wait)
}

// submit submits a manifest and retries while the outcome is unknown. All
// attempts carry the same token, so the host accepts the manifest once.
func (c *manifestSubmitCmd) submit(ctx context.Context, data []byte) (entry.SubmitResponse, error) {
	var response entry.SubmitResponse
	var err error
	for range maxSubmitAttempts {
		var body []byte
		header := http.Header{entry.HeaderSubmitToken: {c.Token}}
		body, err = c.client().call(ctx, http.MethodPost, entry.PathManifest, data, header)
		if err == nil {
			return response, json.Unmarshal(body, &response)
		}
		if !outcomeUnknown(err) || !sleep(ctx, time.Second) {
			break
		}
	}
	return response, fmt.Errorf("submit (token %s): %w", c.Token, err)
}

// outcomeUnknown reports whether a failed submission may have taken effect.
func outcomeUnknown(err error) bool {
	var api *apiError
	if errors.As(err, &api) {
		return api.Answer.Outcome == entry.OutcomeUnknown
	}
	return true
}

// errNotConfirmed is returned if some hosts don't confirm an epoch in time.
var errNotConfirmed = errors.New("not all hosts have confirmed the manifest")

const inForcePollInterval = 200 * time.Millisecond

func waitInForce(ctx context.Context, s *streams, client *operatorClient, epoch uint64, wait time.Duration) error {
	deadline := time.Now().Add(wait)
	for {
		var status config.ConfirmationReport
		err := client.get(ctx, epochPath(entry.PathInForce, epoch), &status)
		if err == nil && len(status.Unconfirmed) == 0 {
			fmt.Fprintf(s.out, "in force on %s\n", strings.Join(status.Confirmed, " "))
			return nil
		}
		if time.Now().After(deadline) || !sleep(ctx, inForcePollInterval) {
			fmt.Fprintf(s.out, "in force on %s; not confirmed by %s\n", strings.Join(status.Confirmed, " "), strings.Join(status.Unconfirmed, " "))
			return errors.Join(errNotConfirmed, err)
		}
	}
}

func epochPath(pattern string, epoch uint64) string {
	return strings.Replace(pattern, "{epoch}", fmt.Sprint(epoch), 1)
}

// sleep waits for d and returns true, or false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	return wait.For(ctx, d) == nil
}

type manifestShowCmd struct {
	operatorFlags
	Epoch uint64 `arg:"" optional:"" help:"The epoch; without it, the one in force."`
}

// Run implements the command.
func (c *manifestShowCmd) Run(ctx context.Context, s *streams) error {
	path := entry.PathManifest
	if c.Epoch > 0 {
		path = epochPath(entry.PathEpoch, c.Epoch)
	}
	data, err := c.client().call(ctx, http.MethodGet, path, nil, nil)
	if err != nil {
		return err
	}
	_, err = s.out.Write(data)
	return err
}

type manifestHistoryCmd struct {
	operatorFlags
	After uint64 `help:"List epochs above this one." env:"-"`
}

// Run implements the command.
func (c *manifestHistoryCmd) Run(ctx context.Context, s *streams) error {
	var heads []config.Head
	path := entry.PathHistory + "?after=" + url.QueryEscape(fmt.Sprint(c.After))
	if err := c.client().get(ctx, path, &heads); err != nil {
		return err
	}
	w := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	for _, h := range heads {
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\n", h.Epoch, h.AcceptedAt.Format(time.RFC3339), h.Build, h.Digest)
	}
	return w.Flush()
}

type manifestDiffCmd struct {
	Old string `arg:"" help:"The old manifest."`
	New string `arg:"" help:"The new manifest; - reads standard input."`
}

// Run implements the command.
func (c *manifestDiffCmd) Run(s *streams) error {
	_, older, err := readManifest(s, c.Old)
	if err != nil {
		return err
	}
	_, newer, err := readManifest(s, c.New)
	if err != nil {
		return err
	}
	for _, change := range manifest.Diff(older, newer) {
		fmt.Fprintf(s.out, "%s: %s -> %s\n", change.Path, change.Old, change.New)
	}
	return nil
}

type manifestSchemaCmd struct{}

// Run implements the command.
func (manifestSchemaCmd) Run(s *streams) error {
	_, err := s.out.Write(manifest.Schema())
	return err
}

type manifestInForceCmd struct {
	operatorFlags
	Epoch uint64 `arg:"" help:"The epoch."`
}

// Run implements the command.
func (c *manifestInForceCmd) Run(ctx context.Context, s *streams) error {
	var status config.ConfirmationReport
	if err := c.client().get(ctx, epochPath(entry.PathInForce, c.Epoch), &status); err != nil {
		return err
	}
	return printJSON(s.out, status)
}
