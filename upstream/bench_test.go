package upstream

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/quetzalweir/quetzalweir/runstate"
)

// benchFrames is the number of frames in each benchmarked response.
const benchFrames = 10_000

// recordedResponse returns the body of a response with benchFrames frames.
func recordedResponse() []byte {
	var b bytes.Buffer
	for n := 1; n <= benchFrames; n++ {
		fmt.Fprintf(&b, "id: r1:%d\ndata: {\"id\":\"r1\",\"object\":\"chat.completion.chunk\",\"model\":\"m@v\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"token \"}}]}\n\n", n)
	}
	fmt.Fprintf(&b, "id: r1:%d\ndata: [DONE]\n\n", benchFrames+1)
	return b.Bytes()
}

// BenchmarkStreamDecode reads a response from memory, so that only the client's own
// cost per frame is measured.
func BenchmarkStreamDecode(b *testing.B) {
	response := recordedResponse()
	e := NewEngine(EngineOptions{})
	defer e.Close()
	b.ReportAllocs()
	for b.Loop() {
		resp := &http.Response{Body: io.NopCloser(bytes.NewReader(response))}
		s := newStream(b.Context(), func(error) {}, e, Target{}, testCall())
		s.attach(newResponseConn(b.Context(), s.readTimeout), resp)
		readFrames(b, s)
	}
	reportFrames(b)
}

// BenchmarkStreamLoopback reads a response over TCP that the server sends in one
// write or with one write per frame. The CPU time is that of the whole process,
// including the server, which only copies recorded bytes.
func BenchmarkStreamLoopback(b *testing.B) {
	oneWrite := [][]byte{recordedResponse()}
	writePerFrame := bytes.SplitAfter(oneWrite[0], []byte("\n\n"))
	for _, bench := range []struct {
		desc   string
		writes [][]byte
	}{{"at once", oneWrite}, {"frame by frame", writePerFrame}} {
		b.Run(bench.desc, func(b *testing.B) { benchLoopback(b, bench.writes) })
	}
}

func benchLoopback(b *testing.B, writes [][]byte) {
	target := serve(b, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(HeaderModelVersion, "m@v")
		control := http.NewResponseController(w)
		for _, data := range writes {
			_, _ = w.Write(data)
			_ = control.Flush()
		}
	})
	e := NewEngine(EngineOptions{})
	defer e.Close()
	b.ReportAllocs()
	before := cpuTime(b)
	for b.Loop() {
		s, err := e.Open(b.Context(), target, testCall(), new(runstate.Tracker))
		if err != nil {
			b.Fatal(err)
		}
		readFrames(b, s)
	}
	used := cpuTime(b) - before
	b.ReportMetric(float64(used.Microseconds())/float64(b.N)/1000, "cpu-ms/10k-frames")
	reportFrames(b)
}

// BenchmarkRequestBody rewrites a request with a prompt of 64 KiB.
func BenchmarkRequestBody(b *testing.B) {
	prompt := strings.Repeat("stock sheet ", 64<<10/12)
	body := fmt.Appendf(nil, `{"model":"m","messages":[{"role":"user","content":%q}]}`, prompt)
	b.SetBytes(int64(len(body)))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := requestBody(body, "m", "v"); err != nil {
			b.Fatal(err)
		}
	}
}

func readFrames(b *testing.B, s Stream) {
	for n := 0; ; n++ {
		_, err := s.Next()
		if err == io.EOF && n == benchFrames {
			return
		}
		if err != nil {
			b.Fatalf("after %d frames: %v", n, err)
		}
	}
}

func reportFrames(b *testing.B) {
	b.ReportMetric(float64(b.N)*benchFrames/b.Elapsed().Seconds(), "frames/s")
}

func cpuTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
