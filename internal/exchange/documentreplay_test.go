package exchange

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/quetzalweir/quetzalweir/internal/feed"
	"github.com/quetzalweir/quetzalweir/storage"
)

// These tests replay a series of large documents in virtual time. Hosts receive them over links
// of limited bandwidth, and decode them on a fraction of a core, while hubs are lost.

const (
	// documentApplyTime is the time within which each host must have a document in force.
	documentApplyTime = 3 * time.Second
	// smallLink and fastLink are the bandwidths of hosts in Mbit/s.
	smallLink, fastLink = 10, 200
	// decodeNanosPerByte is the time that a small host needs to decode a byte of a document:
	// 0.12 s for 4,250 routes.
	decodeNanosPerByte = 140
	// linkPart is the size in bytes of the parts of a transfer, which share the link with other
	// transfers.
	linkPart = 16 << 10
)

// replayLink is a network link that carries the parts of all transfers one after the other.
type replayLink struct {
	bytesPerSecond float64

	mu     sync.Mutex
	freeAt time.Time
	bytes  int
}

// carry returns when the bytes have been sent over the link, as part of a longer transfer.
func (l *replayLink) carry(ctx context.Context, bytes int) error {
	l.mu.Lock()
	l.bytes += bytes
	if now := time.Now(); l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(float64(bytes) / l.bytesPerSecond * float64(time.Second)))
	delay := time.Until(l.freeAt)
	l.mu.Unlock()
	select {
	case <-time.After(delay):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// setRate changes the bandwidth.
func (l *replayLink) setRate(bytesPerSecond float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bytesPerSecond = bytesPerSecond
}

// carried returns the number of bytes that the link carried so far.
func (l *replayLink) carried() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bytes
}

// transfer sends the bytes over the links, part by part.
func transfer(ctx context.Context, bytes int, received func(int), links ...*replayLink) error {
	for bytes > 0 {
		part := min(bytes, linkPart)
		bytes -= part
		for _, l := range links {
			if err := l.carry(ctx, part); err != nil {
				return err
			}
		}
		received(part)
	}
	return nil
}

// replayStore is the store of a replay, as one host reaches it.
type replayStore struct {
	*fleetStore
	// link returns the link to the store.
	link func() *replayLink
	// unreachable reports whether calls get no answer, losesAnswers whether answers are lost that
	// the store sends now.
	unreachable  func() bool
	losesAnswers func() bool
}

// wireOverhead is how much longer a row is in the store's answer.
const wireOverhead = 4. / 3

func (s *replayStore) receive(ctx context.Context, page feed.Page, received feed.OnReceived) error {
	if s.losesAnswers() {
		<-ctx.Done()
		return ctx.Err()
	}
	size := 100.0
	for _, row := range page.Rows {
		size += 100 + wireOverhead*float64(len(row.Data))
	}
	return transfer(ctx, int(size), received, s.link())
}

func (s *replayStore) List(ctx context.Context, table, from string, received feed.OnReceived) (feed.Page, error) {
	if s.unreachable() {
		<-ctx.Done()
		return feed.Page{}, ctx.Err()
	}
	page, err := s.fleetStore.List(ctx, table, from, func(int) {})
	if err != nil {
		return page, err
	}
	return page, s.receive(ctx, page, received)
}

func (s *replayStore) Changes(ctx context.Context, table string, since storage.Revision, wait time.Duration, received feed.OnReceived) (feed.Page, error) {
	if s.unreachable() {
		<-ctx.Done()
		return feed.Page{}, ctx.Err()
	}
	page, err := s.fleetStore.Changes(ctx, table, since, wait, func(int) {})
	if err != nil {
		return page, err
	}
	return page, s.receive(ctx, page, received)
}

const documentKey = "document"

// routesDocument returns a document of so many routes, of 204 bytes each. The routes in changed
// have another timeout.
func routesDocument(routes int, changed ...int) []byte {
	var doc bytes.Buffer
	random := rand.New(rand.NewPCG(1, 2))
	for i := range routes {
		timeout := 5000
		if slices.Contains(changed, i) {
			timeout = 5001
		}
		fmt.Fprintf(&doc, `{"route_id":"r-%08x","host":"h%05d.example","prefix":"/p%08x/","service":"service-%02d","route_type":"idempotent","timeout_ms":%d,"max_attempts":2,"priority":2,"target_latency_ms":150,"session_affinity":false},`,
			random.Uint32(), i%7, random.Uint32(), i%3, timeout)
	}
	return doc.Bytes()
}

// putDocument writes a document and returns its revision.
func (s *fleetStore) putDocument(data []byte) storage.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	row := feed.Row{Key: documentKey, Revision: s.revision, Data: data}
	s.rows[documentKey] = row
	// The store returns the latest version of a row only.
	s.changes = append(slices.DeleteFunc(s.changes, func(r feed.Row) bool { return r.Key == documentKey }), row)
	close(s.changed)
	s.changed = make(chan struct{})
	return s.revision
}

// documentHandler receives the documents of one host.
type documentHandler struct {
	*fleetHost
	fast bool

	mu      sync.Mutex
	inForce []documentInForce
	errs    []string
	want    func(storage.Revision) []byte
}

// documentInForce is a document that a host put in force at the time.
type documentInForce struct {
	revision storage.Revision
	at       time.Time
}

func (h *documentHandler) Replace(rows []feed.Row, _ storage.Revision) {
	for _, row := range rows {
		h.Change(row)
	}
}

func (h *documentHandler) Change(row feed.Row) {
	if row.Key != documentKey {
		h.fleetHost.Change(row)
		return
	}
	cost := time.Duration(decodeNanosPerByte * len(row.Data))
	if h.fast {
		cost /= 4
	}
	time.Sleep(cost)
	h.mu.Lock()
	defer h.mu.Unlock()
	if n := len(h.inForce); n > 0 && h.inForce[n-1].revision > row.Revision {
		h.errs = append(h.errs, fmt.Sprintf("%s went back from revision %v to %v", h.name, h.inForce[n-1].revision, row.Revision))
	}
	if !bytes.Equal(row.Data, h.want(row.Revision)) {
		h.errs = append(h.errs, fmt.Sprintf("%s has another document of revision %v than was written", h.name, row.Revision))
	}
	h.inForce = append(h.inForce, documentInForce{row.Revision, time.Now()})
}

// problems returns what was wrong with the documents that the host received.
func (h *documentHandler) problems() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.errs
}

// delay returns how long after the document was written the host had it or a newer one in force.
func (h *documentHandler) delay(revision storage.Revision, writtenAt time.Time) (time.Duration, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, d := range h.inForce {
		if d.revision >= revision {
			return d.at.Sub(writtenAt), true
		}
	}
	return 0, false
}

// documentReplay is a fleet to which a series of documents is written.
type documentReplay struct {
	*fleet
	handlers map[*fleetHost]*documentHandler

	mu        sync.Mutex
	documents map[storage.Revision]writtenDocument
	// cutOff holds the hosts whose calls of the store get no answer.
	cutOff map[*fleetHost]bool
	// slowPaths holds the hosts' paths to the store that are slower than their links.
	slowPaths map[*fleetHost]*replayLink
	// losesAnswers reports whether the store's answers are lost.
	losesAnswers atomic.Bool
}

type writtenDocument struct {
	data []byte
	at   time.Time
}

// newDocumentReplay starts a fleet whose first two hosts of each zone have fast links. The first
// hosts of the first three zones are seeds.
func newDocumentReplay(t *testing.T, hosts, zones, fast int) *documentReplay {
	r := &documentReplay{handlers: make(map[*fleetHost]*documentHandler), documents: make(map[storage.Revision]writtenDocument), cutOff: make(map[*fleetHost]bool), slowPaths: make(map[*fleetHost]*replayLink)}
	r.fleet = &fleet{t: t, store: newFleetStore(100), byAddress: make(map[string]*fleetHost), links: make(map[*fleetHost]*replayLink)}
	r.customize = func(h *fleetHost, options *feed.Options) (feed.Source, feed.Handler) {
		options.ApplyTime = documentApplyTime
		options.Hold, options.BatchDelay = 6*time.Second, 300*time.Millisecond
		handler := &documentHandler{fleetHost: h, fast: r.links[h].bytesPerSecond > smallLink*1e6/8, want: r.document}
		r.handlers[h] = handler
		return &replayStore{fleetStore: r.store, link: func() *replayLink { return r.storeLink(h) }, unreachable: func() bool { return r.isCutOff(h) }, losesAnswers: r.losesAnswers.Load}, handler
	}
	for i := range hosts {
		h := &fleetHost{name: fmt.Sprint("host-", i), zone: fmt.Sprint("zone-", i%zones), address: fmt.Sprint("10.0.0.", i)}
		r.hosts = append(r.hosts, h)
		if i < min(3, zones) {
			r.seeds = append(r.seeds, h.address)
		}
		link := smallLink
		if i < fast*zones {
			link = fastLink
		}
		r.links[h] = &replayLink{bytesPerSecond: float64(link) * 1e6 / 8}
	}
	r.write(routesDocument(50))
	for i, h := range r.hosts {
		r.start(h, i < fast*zones)
		time.Sleep(startInterval)
	}
	t.Cleanup(r.stopAll)
	return r
}

func (r *documentReplay) document(revision storage.Revision) []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.documents[revision].data
}

func (r *documentReplay) isCutOff(h *fleetHost) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cutOff[h]
}

func (r *documentReplay) setCutOff(h *fleetHost, cutOff bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cutOff[h] = cutOff
}

// storeLink returns the link over which the store's answers reach the host.
func (r *documentReplay) storeLink(h *fleetHost) *replayLink {
	r.mu.Lock()
	defer r.mu.Unlock()
	return cmp.Or(r.slowPaths[h], r.links[h])
}

// slowDown gives the host a slow path to the store.
func (r *documentReplay) slowDown(h *fleetHost, bytesPerSecond float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.slowPaths[h] = &replayLink{bytesPerSecond: bytesPerSecond}
}

// setDisconnected sets which hosts can't reach each other.
func (r *documentReplay) setDisconnected(disconnected func(from, to *fleetHost) bool) {
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	r.disconnected = disconnected
}

// write writes a document to the store.
func (r *documentReplay) write(data []byte) storage.Revision {
	r.mu.Lock()
	defer r.mu.Unlock()
	revision := r.store.putDocument(data)
	r.documents[revision] = writtenDocument{data, time.Now()}
	return revision
}

// lose stops the host. Calls to it get no answer.
func (r *documentReplay) lose(h *fleetHost) {
	h.stop()
	r.hosts = slices.DeleteFunc(r.hosts, func(other *fleetHost) bool { return other == h })
}

// hubOf returns the hub to which the host reports, or nil.
func (r *documentReplay) hubOf(h *fleetHost) *fleetHost {
	for _, other := range r.hosts {
		if other != h && other.address == h.member.Hub() {
			return other
		}
	}
	return nil
}

// checkDocuments checks that each host that wasn't lost had each document, or a newer one, in
// force within the time, and never went back. It returns the longest delay.
func (r *documentReplay) checkDocuments(within time.Duration) {
	r.t.Helper()
	r.mu.Lock()
	documents := maps.Clone(r.documents)
	r.mu.Unlock()
	longest, late := time.Duration(0), 0
	for revision, d := range documents {
		for _, host := range r.hosts {
			h := r.handlers[host]
			delay, ok := h.delay(revision, d.at)
			longest = max(longest, delay)
			if !ok || delay > within {
				if late++; late <= 5 {
					r.t.Errorf("%s has revision %v (%d bytes) in force after %v (%v)", host.name, revision, len(d.data), delay, ok)
				}
			}
		}
	}
	for _, host := range r.hosts {
		if errs := r.handlers[host].problems(); len(errs) > 0 {
			r.t.Error(errs)
		}
	}
	calls, _ := r.store.count()
	total, busiest := 0, 0
	for _, h := range r.hosts {
		total, busiest = total+r.links[h].carried(), max(busiest, r.links[h].carried())
	}
	r.t.Logf("%d hosts: longest delay %v, %d late; %d calls of the store; bytes of a host: mean %d, most %d", len(r.hosts), longest, late, calls, total/len(r.hosts), busiest)
}

// documentFleetSizes returns the sizes of the installations for these replays.
func documentFleetSizes() []fleetSize {
	if raceEnabled {
		return []fleetSize{{7, 3}, {30, 3}}
	}
	return []fleetSize{{7, 3}, {90, 4}, {440, 32}}
}

// Guards against a large document that is late on hosts whose hub is lost while the document is
// on its way, once and again: the spans until a host notices, asks the store and has read the
// document must not add up to more than the time that operators give.
func TestReplayLargeDocumentsInSeriesWhileHubsAreLost(t *testing.T) {
	for _, size := range documentFleetSizes() {
		for _, fast := range []int{2, 0} {
			if size.hosts > 100 && fast == 0 {
				continue // takes long; the code is the same
			}
			t.Run(fmt.Sprintf("%d hosts, %d fast links a zone", size.hosts, fast), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					r := newDocumentReplay(t, size.hosts, size.zones, fast)
					time.Sleep(8 * time.Second)
					last := r.hosts[size.hosts-1]
					for i, doc := range [][]byte{routesDocument(1400), routesDocument(2800), routesDocument(4200), routesDocument(4250, 7), routesDocument(4250, 7, 4000), routesDocument(2000)} {
						r.write(doc)
						if i > 0 && i < 4 {
							if hub := r.hubOf(last); hub != nil {
								r.lose(hub)
							}
						}
						time.Sleep(1400 * time.Millisecond)
						if i == 2 {
							if hub := r.hubOf(last); hub != nil {
								r.lose(hub)
							}
						}
						time.Sleep(2100 * time.Millisecond)
					}
					time.Sleep(5 * time.Second)
					r.checkDocuments(documentApplyTime)
				})
			})
		}
	}
}

// Guards against hosts that the store doesn't answer and whose hub has the document: they must
// get it from the hub, however large it is.
func TestReplayLargeDocumentsReachHostsWithoutTheStore(t *testing.T) {
	for _, size := range documentFleetSizes()[1:] {
		for _, fast := range []int{2, 0} {
			if size.hosts > 100 && fast > 0 {
				continue // takes long; the code is the same
			}
			t.Run(fmt.Sprintf("%d hosts, %d fast links a zone", size.hosts, fast), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					r := newDocumentReplay(t, size.hosts, size.zones, fast)
					time.Sleep(8 * time.Second)
					for i, h := range r.hosts {
						if i >= 2*size.zones && i%3 == 0 {
							r.setCutOff(h, true)
						}
					}
					for _, routes := range []int{1400, 2800, 4200} {
						r.write(routesDocument(routes))
						time.Sleep(3500 * time.Millisecond)
					}
					is.True(len(r.hosts) == size.hosts)
					r.checkDocuments(documentApplyTime)
				})
			})
		}
	}
}

// Guards against a document that small links can't carry from the store within the time: hosts must
// get it from their hubs, in parts where the hubs' links can't carry it to all at once, and again
// after a hub is lost halfway.
func TestReplayDocumentLargerThanLinksCarryFromTheStore(t *testing.T) {
	const routes = 14_000 // 3 MB, 4.1 MB from the store: 3.3 s on 10 Mbit/s
	for _, size := range documentFleetSizes()[1:2] {
		synctest.Test(t, func(t *testing.T) {
			r := newDocumentReplay(t, size.hosts, size.zones, 2)
			time.Sleep(8 * time.Second)
			r.write(routesDocument(routes))
			time.Sleep(500 * time.Millisecond)
			if hub := r.hubOf(r.hosts[size.hosts-1]); hub != nil {
				r.lose(hub)
			}
			time.Sleep(6 * time.Second)
			r.write(routesDocument(routes, 100))
			r.lose(r.hubOf(r.hosts[len(r.hosts)-1]))
			time.Sleep(6 * time.Second)
			r.checkDocuments(documentApplyTime)
		})
	}
}

// Guards against hosts that read large documents over a slow link although another host has them,
// where hosts are too few for hubs to relay tables.
func TestReplayLargeDocumentsInSmallFleets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newDocumentReplay(t, 7, 3, 2)
		slow := r.hosts[6]
		time.Sleep(8 * time.Second)
		for _, routes := range []int{1400, 2800, 4200} {
			r.write(routesDocument(routes))
			time.Sleep(3500 * time.Millisecond)
		}
		// The slow host must take less than half of the time and the bytes that the store's answers take.
		fromStore := func(routes int) float64 { return wireOverhead * float64(len(routesDocument(routes))) }
		r.checkDocuments(time.Duration(fromStore(4200) / r.links[slow].bytesPerSecond * float64(time.Second) / 2))
		is.True(float64(r.links[slow].carried()) < (fromStore(1400)+fromStore(2800)+fromStore(4200))/2)
		// Each other host reads the documents once, and sends or receives as much again at most.
		is.True(float64(r.links[r.hosts[0]].carried()) < 2*(fromStore(1400)+fromStore(2800)+fromStore(4200)))
		is.Equal(slow.watcher.HasFreshUpdate(), false)       // it goes on calling the store
		is.Equal(r.hosts[0].watcher.HasFreshUpdate(), false) // hubs don't rely on each other
	})
}

// Guards against hosts whose hub has old data and whose own calls the store holds for seconds: if
// the answer to such a call is lost, they notice it only at its end. The hub reads a large document
// over a slow link meanwhile.
func TestAnswersAreLostWhileTheHubHasOldData(t *testing.T) {
	const lostFor = 900 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		r := newDocumentReplay(t, 12, 1, 12)
		hub := r.hosts[0]
		r.links[hub].setRate(160 << 10)
		time.Sleep(8 * time.Second)
		r.write(routesDocument(4200))
		time.Sleep(3 * time.Second)
		r.losesAnswers.Store(true)
		revision := r.write(routesDocument(4200, 7))
		time.Sleep(lostFor)
		r.losesAnswers.Store(false)
		time.Sleep(8 * time.Second)
		for _, h := range r.hosts[1:] {
			delay, ok := r.handlers[h].delay(revision, r.documents[revision].at)
			if !ok || delay > lostFor+documentApplyTime {
				t.Errorf("%s has the document in force after %v (%v)", h.name, delay, ok)
			}
		}
	})
}

// Guards against hosts of a fleet without relaying hubs whose calls the store holds for seconds: if
// the answers to all of these are lost, one host must notice it soon.
func TestAnswersAreLostInSmallFleets(t *testing.T) {
	const lostFor = 900 * time.Millisecond
	for _, size := range []fleetSize{{3, 3}, {7, 3}} {
		for _, lost := range []bool{true, false} {
			t.Run(fmt.Sprintf("%d hosts, first seed lost %t, else on a slow link", size.hosts, lost), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					r := newDocumentReplay(t, size.hosts, size.zones, size.hosts)
					time.Sleep(8 * time.Second)
					if lost {
						r.lose(r.hosts[0]) // the next seed takes its place
					} else {
						r.links[r.hosts[0]].setRate(160 << 10)
						r.write(routesDocument(4200)) // it reads this one for seven seconds
					}
					time.Sleep(2 * time.Second)
					r.losesAnswers.Store(true)
					revision := r.write(routesDocument(1400))
					time.Sleep(lostFor)
					r.losesAnswers.Store(false)
					time.Sleep(8 * time.Second)
					for _, h := range r.hosts {
						if h.address == r.seeds[0] {
							continue // its own link needs longer
						}
						for _, problem := range r.handlers[h].problems() {
							t.Error(problem)
						}
						delay, ok := r.handlers[h].delay(revision, r.documents[revision].at)
						if !ok || delay > lostFor+documentApplyTime {
							t.Errorf("%s has the document in force after %v (%v)", h.name, delay, ok)
						}
					}
				})
			})
		}
	}
}

// Guards against hubs that read whole tables over slow paths after the store lost its history, although
// hosts that report to them have newer documents: they must get these from them and pass them on.
func TestReplayLargeDocumentsAfterLostHistoryOnSlowHubs(t *testing.T) {
	for _, size := range []fleetSize{{9, 1}, {30, 3}} {
		t.Run(fmt.Sprint(size.hosts), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newDocumentReplay(t, size.hosts, size.zones, 2)
				time.Sleep(8 * time.Second)
				for _, h := range r.hosts[:2*size.hosts/3] {
					r.slowDown(h, 160<<10)
				}
				for _, routes := range []int{1000, 2000, 3000, 4000} {
					r.write(routesDocument(routes))
					r.store.dropHistory()
					time.Sleep(900 * time.Millisecond)
				}
				time.Sleep(5 * time.Second)
				r.checkDocuments(documentApplyTime)
			})
		})
	}
}

// Guards against hubs that the store doesn't answer although hosts that report to them have the
// documents: hubs must get them from these hosts, over small links.
func TestReplayLargeDocumentsWhileHubsLackTheStore(t *testing.T) {
	for _, size := range documentFleetSizes()[1:2] {
		for _, fast := range []int{2, 0} {
			t.Run(fmt.Sprintf("%d hosts, %d fast links a zone", size.hosts, fast), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					r := newDocumentReplay(t, size.hosts, size.zones, fast)
					time.Sleep(8 * time.Second)
					for _, h := range r.hosts[:2*size.zones] {
						r.setCutOff(h, true)
					}
					for _, routes := range []int{1400, 2800, 4200} {
						r.write(routesDocument(routes))
						time.Sleep(3500 * time.Millisecond)
					}
					is.Equal(len(r.hosts), size.hosts)
					r.checkDocuments(documentApplyTime)
				})
			})
		}
	}
}

// Guards against a seed without the store that asks the other seeds again only after 5 s, if their
// first queries failed: its followers have no other source of documents than the store.
func TestSeedWithoutTheStoreAsksAgainSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newDocumentReplay(t, 30, 3, 2)
		time.Sleep(8 * time.Second)
		seed := r.hosts[0]
		r.setDisconnected(func(from, to *fleetHost) bool { return from == seed || to == seed })
		time.Sleep(700 * time.Millisecond)
		r.setDisconnected(nil)
		r.setCutOff(seed, true)
		time.Sleep(time.Second)
		r.write(routesDocument(1400))
		time.Sleep(5 * time.Second)
		r.checkDocuments(documentApplyTime)
	})
}

// Guards against a change of one route that costs as much as the whole document. The traffic of
// a host for control stays within its budget while a document of 4,250 routes changes as often as
// operators change it.
func TestChangesOfOneRouteStayWithinTheTrafficBudget(t *testing.T) {
	const (
		changeInterval = 5400 * time.Millisecond
		changes        = 4
		bytesPerSecond = 7_000
	)
	for _, size := range documentFleetSizes()[1:] {
		t.Run(fmt.Sprint(size.hosts), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := newDocumentReplay(t, size.hosts, size.zones, 2)
				time.Sleep(8 * time.Second)
				r.write(routesDocument(4250))
				time.Sleep(3 * time.Second)
				before := make([]int, len(r.hosts))
				for i, h := range r.hosts {
					before[i] = r.links[h].carried()
				}
				for i := range changes {
					r.write(routesDocument(4250, 1000*i))
					time.Sleep(changeInterval)
				}
				traffic := make([]int, len(r.hosts))
				for i, h := range r.hosts {
					traffic[i] = int(float64(r.links[h].carried()-before[i]) / (changes * changeInterval.Seconds()))
				}
				slices.Sort(traffic)
				t.Logf("%d hosts: bytes a second of a host: median %d, most %d", size.hosts, traffic[len(traffic)/2], traffic[len(traffic)-1])
				is.True(traffic[len(traffic)/2] <= bytesPerSecond)
				r.checkDocuments(documentApplyTime)
			})
		})
	}
}
