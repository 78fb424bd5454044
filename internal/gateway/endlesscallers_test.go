package gateway

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/routing"
)

// serveCallers serves callers as a process does, with the limits of their connections, and returns the address.
func (tg *testGateway) serveCallers() string {
	tg.t.Helper()
	g := tg.gateway
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tg.t.Fatal(err)
	}
	server := g.intake.NewServer(g, g.callerOptions())
	go func() { _ = server.Serve(g.intake.Listener(listener, g.callerOptions())) }()
	tg.t.Cleanup(func() { server.Close() })
	return listener.Addr().String()
}

// The memory of answers that don't end was taken from callers: their connections were closed without an answer, most
// of them before anything was passed on.
func TestEndlessAnswersEndNoRequestOfOthers(t *testing.T) {
	const atATime, others = 300, 100
	for _, answer := range endlessAnswers {
		if answer.pause > 0 {
			continue // takes no memory
		}
		t.Run(answer.desc, func(t *testing.T) {
			is := is.New(t)
			doc := testDocument()
			other := doc.Routes[1]
			other.Name, other.Prefix, other.Shares = "other", "/other/", []routing.Share{{Service: "other", Weight: 1}}
			other.Timeout, other.Target = time.Minute, time.Minute // the processor is busy with the endless answers
			doc.Routes, doc.Services = append(doc.Routes, other), append(doc.Services, routing.Service{Name: "other"})
			tg := newTestGateway(t, doc)
			address := tg.serveCallers()
			u := startEndlessUpstream(t, answer.head, answer.repeated, 0)
			tg.gateway.fleet.ApplyEntry(Upstream{ID: "u1", Service: "svc", Zone: "z1", Version: "v1", Address: u.listener.Addr().String(), Slots: 2 * atATime}, 1)
			tg.startUpstream("u2", respondOK("sound"))
			for _, m := range tg.gateway.fleet.shard("svc").members {
				if m.ID == "u2" {
					sound := m.Upstream
					sound.Service, sound.Slots = "other", 2*others
					tg.gateway.fleet.RemoveEntry("u2", 2, false)
					tg.gateway.fleet.ApplyEntry(sound, 3)
				}
			}

			var group sync.WaitGroup
			var closed, sound atomic.Int64
			send := func(req *http.Request) {
				req.URL.Host = address
				group.Go(func() {
					client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
					resp, err := client.Do(req)
					if err != nil {
						closed.Add(1)
						t.Logf("%s: %v", req.URL.Path, err)
						return
					}
					defer resp.Body.Close()
					body, err := io.ReadAll(resp.Body)
					if err == nil && string(body) == "sound" {
						sound.Add(1)
					} else if strings.HasPrefix(req.URL.Path, "/other") {
						t.Logf("other service: status %d, %s %v", resp.StatusCode, body, err)
					}
				})
			}
			for i := range atATime {
				send(tg.newRequest("POST", answer.path, fmt.Sprint("body ", i)))
				if i%(atATime/others) == 0 {
					send(tg.newRequest("POST", "/other/x", fmt.Sprint("body ", i), "T-Deadline", "60000"))
				}
			}
			group.Wait()
			t.Logf("%d closed, %d of %d of the other service answered", closed.Load(), sound.Load(), others)
			if closed.Load() > 0 {
				var metrics bytes.Buffer
				tg.gateway.metrics.write(&metrics)
				for line := range strings.Lines(metrics.String()) {
					if strings.Contains(line, "intake_ended_total") {
						t.Log(line)
					}
				}
			}
			is.Equal(closed.Load(), int64(0))
			is.Equal(sound.Load(), int64(others))
		})
	}
}
