package path

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/quetzalweir/quetzalweir/upstream"
)

// endMarker is the line that ends a complete stream.
var endMarker = []byte("data: [DONE]")

// send sends one streamed request and reads the response. It fails without the
// end marker.
func (r *run) send(ctx context.Context, kind int, prompt string) error {
	address, model := r.Entry.CallerAddr, r.Model
	if kind == direct {
		address, model = r.EngineAddr, r.Version
	}
	body := fmt.Sprintf(`{"model":%q,"stream":true,"messages":[{"role":"user","content":%q}]}`, model, prompt)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+r.AccountKey)
	req.Header.Set(upstream.HeaderRequestID, prompt)
	resp, err := r.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return readStream(resp)
}

func readStream(resp *http.Response) error {
	lines := bufio.NewScanner(resp.Body)
	ended := false
	for lines.Scan() {
		if bytes.Equal(lines.Bytes(), endMarker) {
			ended = true
		}
	}
	if err := lines.Err(); err != nil {
		return err
	}
	if !ended {
		return fmt.Errorf("%s: the stream ended without its end marker", resp.Status)
	}
	return nil
}

// Usage holds the processor time and allocations of a process since its start,
// and its resident memory now.
type Usage struct {
	// CPUSeconds is processor time, ResidentBytes resident memory; Mallocs is a count.
	CPUSeconds    float64
	Mallocs       float64
	ResidentBytes float64
}

// hostUsage holds the resources used by the measured host and, summed, by the
// other hosts.
type hostUsage struct {
	measured, others resources
}

type resources struct {
	cpu, mallocs float64
}

func (r *run) usage(ctx context.Context) (hostUsage, error) {
	var u hostUsage
	if err := r.addUsage(ctx, r.Entry, &u.measured); err != nil {
		return u, err
	}
	for _, h := range r.Others {
		if err := r.addUsage(ctx, h, &u.others); err != nil {
			return u, err
		}
	}
	return u, nil
}

func (r *run) addUsage(ctx context.Context, h Host, sum *resources) error {
	u, err := ReadUsage(ctx, r.client, h)
	sum.cpu += u.CPUSeconds
	sum.mallocs += u.Mallocs
	return err
}

// ReadUsage reads a host's usage from its metrics endpoint.
func ReadUsage(ctx context.Context, client *http.Client, h Host) (Usage, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.OperatorAddr+"/metrics", nil)
	if err != nil {
		return Usage{}, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return Usage{}, err
	}
	defer resp.Body.Close()
	var u Usage
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), " ")
		n, _ := strconv.ParseFloat(value, 64)
		switch name {
		case "process_cpu_seconds_total":
			u.CPUSeconds = n
		case "go_memstats_mallocs_total":
			u.Mallocs = n
		case "process_resident_memory_bytes":
			u.ResidentBytes = n
		}
	}
	return u, lines.Err()
}
