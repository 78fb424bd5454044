package upstream

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "github.com/quetzalweir/quetzalweir/internal/rapidseed"
)

// readEvents returns all events as text and the error that ended them.
func readEvents(r io.Reader, limit int) (events []string, err error) {
	reader := newEventReader(r, limit)
	for {
		ev, err := reader.next()
		if err != nil {
			return events, err
		}
		events = append(events, fmt.Sprintf("%s|%s", ev.id, ev.data))
	}
}

func TestEventReader(t *testing.T) {
	tests := []struct {
		desc  string
		input string
		want  []string
		err   error
	}{
		{"plain", "id: r:1\ndata: a\n\nid: r:2\ndata: b\n\n", []string{"r:1|a", "r:2|b"}, io.EOF},
		{"carriage returns", "id: r:1\r\ndata: a\r\n\r\n", []string{"r:1|a"}, io.EOF},
		{"no space after the colon", "id:r:1\ndata:a\n\n", []string{"r:1|a"}, io.EOF},
		{"several data lines", "data: a\ndata:\ndata: b\n\n", []string{"|a\n\nb"}, io.EOF},
		{"comments, unknown fields, events without data", ": ping\n\nretry: 5\nid: r:1\n\ndata: a\n\n", []string{"|a"}, io.EOF},
		{"empty data", "id: r:1\ndata\n\n", []string{"r:1|"}, io.EOF},
		{"cut in a line", "id: r:1\ndata: a\n\nid: r:2\nda", []string{"r:1|a"}, io.ErrUnexpectedEOF},
		{"cut between lines", "id: r:1\ndata: a\n", nil, io.ErrUnexpectedEOF},
		{"event at the limit", "data: " + strings.Repeat("x", 92) + "\n\n", []string{"|" + strings.Repeat("x", 92)}, io.EOF},
		{"event over the limit", "data: " + strings.Repeat("x", 93) + "\n\n", nil, ErrTooLarge},
		{"endless comments", strings.Repeat(": ping\n", 20), nil, ErrTooLarge},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			is := is.New(t)
			got, err := readEvents(strings.NewReader(test.input), 100)
			is.Equal(got, test.want)
			is.True(errors.Is(err, test.err))
		})
	}
}

// FuzzEvents checks that arbitrary input yields events of limited size, and that it
// yields the same events when it is read one byte at a time.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: r:1\ndata: {\"choices\":[{\"delta\":{\"content\":\"a\\u00e9\"}}]}\n\n"))
	f.Add([]byte("id: r:2\r\ndata: {\"usage\":{\"prompt_tokens\":-1,\"prompt_tokens_details\":{\"cached_tokens\":1e9}}}\r\n\r\n"))
	f.Add([]byte("data: [DONE]\n\n"))
	f.Add([]byte("id: r:18446744073709551616\ndata: {\"choices\":[{\"delta\":{\"content\":\"\\ud800\n\n"))
	f.Add([]byte(": c\n\n\n\ndata\ndata\n\nid\n"))
	f.Add([]byte("data: {\"choices\":[\n\ndata: {\"usage\":{\"prompt_tokens\":[\n\n"))
	f.Fuzz(func(t *testing.T, input []byte) {
		const limit = 200
		is := is.New(t)
		atOnce, atOnceErr := readEvents(bytes.NewReader(input), limit)
		byteWise, byteWiseErr := readEvents(iotest.OneByteReader(bytes.NewReader(input)), limit)
		is.Equal(atOnce, byteWise)
		is.Equal(atOnceErr.Error(), byteWiseErr.Error())
		for _, ev := range atOnce {
			is.True(len(ev) <= limit)
			id, data, _ := strings.Cut(ev, "|")
			_, _ = parseEventID([]byte(id), "r")
			_ = chunkText([]byte(data))
			usage, _ := chunkUsage([]byte(data))
			is.True(usage.PromptTokens >= 0 && usage.CompletionTokens >= 0 && usage.CachedTokens >= 0)
		}
	})
}

func TestParseEventID(t *testing.T) {
	tests := []struct {
		id   string
		want uint64
		ok   bool
	}{
		{"r:1:12", 12, true},
		{"r:1:0", 0, false},
		{"r:1:", 0, false},
		{"r:1:-2", 0, false},
		{"r:1:1234567890123456789", 0, false},
		{"r:2:12", 0, false},
		{"r:12", 0, false},
		{"12", 0, false},
		{"", 0, false},
	}
	for _, test := range tests {
		t.Run(test.id, func(t *testing.T) {
			is := is.New(t)
			got, ok := parseEventID([]byte(test.id), "r:1")
			is.Equal(got, test.want)
			is.Equal(ok, test.ok)
		})
	}
}

// TestReorderBuffer inserts frames in random order with duplicates. Each frame must
// be delivered once and in order, and the buffered bytes must stay within the limit.
func TestReorderBuffer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const maxBytes = 40
		n := uint64(rapid.IntRange(0, 30).Draw(t, "frames"))
		buffer := newReorderBuffer(rapid.IntRange(1, 40).Draw(t, "window"), maxBytes)
		var out []uint64
		arrive := func(seq uint64) {
			if buffer.insert(seq, []byte(fmt.Sprint(seq))) == frameInOrder {
				out = append(out, seq)
			}
			for {
				got, data, ok := buffer.pop()
				if !ok {
					break
				}
				if string(data) != fmt.Sprint(got) {
					t.Fatalf("frame %d holds %q", got, data)
				}
				out = append(out, got)
			}
			if buffer.bufferedBytes < 0 || buffer.bufferedBytes > maxBytes {
				t.Fatalf("%d bytes are buffered", buffer.bufferedBytes)
			}
		}
		buffer.setEndSeq(n + 1)
		for _, seq := range rapid.SliceOf(rapid.Uint64Range(1, n+3)).Draw(t, "arrivals") {
			arrive(seq)
		}
		for seq := buffer.nextSeq; seq <= n; seq++ { // a resumed stream sends the remaining frames in order
			arrive(seq)
		}
		if !buffer.complete() || uint64(len(out)) != n {
			t.Fatalf("%d of %d frames were delivered", len(out), n)
		}
		for i, seq := range out {
			if seq != uint64(i+1) {
				t.Fatalf("frame %d was delivered as number %d", seq, i+1)
			}
		}
	})
}
