package measure

import (
	"context"
	"fmt"

	"github.com/quetzalweir/quetzalweir/internal/capacity"
	"github.com/quetzalweir/quetzalweir/internal/standin/platformd"
	"github.com/quetzalweir/quetzalweir/storage"
	"github.com/quetzalweir/quetzalweir/storage/client"
)

// unlimited is above any rate that is measured.
const unlimited = 1e9

// service is a running stand-in of the platform with a client of it.
type service struct {
	server *platformd.Server
	client *client.Platform
	wire   wire
	stop   context.CancelFunc
	done   chan error
}

func (r *run) startService() (*service, error) {
	s := &service{
		server: platformd.New(platformd.Options{CommitsPerSecond: unlimited, ReadsPerSecond: unlimited}),
		done:   make(chan error, 1),
	}
	listener, err := s.wire.listen()
	if err != nil {
		return nil, err
	}
	var ctx context.Context
	ctx, s.stop = context.WithCancel(r.ctx)
	go func() { s.done <- s.server.Serve(ctx, listener) }()
	s.client = client.New("http://"+listener.Addr().String(), client.Options{})
	return s, nil
}

func (s *service) close() error {
	s.client.Close()
	s.stop()
	return <-s.done
}

// bytesPer returns the bytes on the wire of one call of f, with the
// connection made before.
func (s *service) bytesPer(n int, f func() error) (float64, error) {
	if err := f(); err != nil {
		return 0, err
	}
	before := s.wire.settled()
	for range n {
		if err := f(); err != nil {
			return 0, err
		}
	}
	return (s.wire.settled() - before) / float64(n), nil
}

// cost measures bytes and processor time of a call at several sizes.
func (r *run) cost(s *service, sizes []int, n int, call func(size int) (func() error, error)) (bytes, cpu []capacity.Point, err error) {
	for _, size := range sizes {
		f, err := call(size)
		if err != nil {
			return nil, nil, err
		}
		perCall, err := s.bytesPer(r.times(n), f)
		if err != nil {
			return nil, nil, err
		}
		micros, err := r.cpuPer(n, f)
		if err != nil {
			return nil, nil, err
		}
		bytes = append(bytes, capacity.Point{X: float64(size), Y: perCall})
		cpu = append(cpu, capacity.Point{X: float64(size), Y: micros})
	}
	return bytes, cpu, nil
}

const bothEnds = "client and stand-in together"

func (r *run) platform() error {
	s, err := r.startService()
	if err != nil {
		return err
	}
	steps := []func(*service) error{r.rows, r.lists, r.objects, r.hostList}
	for _, step := range steps {
		if err := step(s); err != nil {
			return err
		}
	}
	return s.close()
}

func (r *run) rows(s *service) error {
	table := s.client.Table()
	put := func(size int) error {
		_, err := table.Commit(r.ctx, storage.Txn{Puts: []storage.Put{{Key: "row", Value: make([]byte, size)}}})
		return err
	}
	sizes := []int{64, 256, 1024, 4096}
	bytes, cpu, err := r.cost(s, sizes, 1000, func(size int) (func() error, error) {
		return func() error { return put(size) }, nil
	})
	if err != nil {
		return err
	}
	r.line(capacity.CommitBytes, unitBytes, "bytes of the value", "request and answer of a commit of one row, without conditions", bytes...)
	r.line(capacity.CommitCPU, unitCPU, "bytes of the value", bothEnds, cpu...)
	bytes, cpu, err = r.cost(s, sizes, 1000, func(size int) (func() error, error) {
		get := func() error {
			_, err := table.Get(r.ctx, "row")
			return err
		}
		return get, put(size)
	})
	if err != nil {
		return err
	}
	r.line(capacity.GetBytes, unitBytes, "bytes of the value", "request and answer", bytes...)
	r.line(capacity.GetCPU, unitCPU, "bytes of the value", bothEnds, cpu...)
	return nil
}

func (r *run) lists(s *service) error {
	table := s.client.Table()
	const valueBytes, limit = 256, 1000
	bytes, cpu, err := r.cost(s, []int{1, 16, 64, 256}, 200, func(size int) (func() error, error) {
		prefix := fmt.Sprintf("list-%d/", size)
		for i := range size {
			put := storage.Put{Key: fmt.Sprintf("%s%04d", prefix, i), Value: make([]byte, valueBytes)}
			if _, err := table.Commit(r.ctx, storage.Txn{Puts: []storage.Put{put}}); err != nil {
				return nil, err
			}
		}
		return func() error {
			_, err := table.List(r.ctx, prefix, "", limit)
			return err
		}, nil
	})
	if err != nil {
		return err
	}
	r.line(capacity.ListBytes, unitBytes, "rows of 256 bytes", "request and answer", bytes...)
	r.line(capacity.ListCPU, unitCPU, "rows of 256 bytes", bothEnds, cpu...)
	return nil
}

func (r *run) objects(s *service) error {
	objects := s.client.Objects()
	const size = 1000
	if err := objects.Write(r.ctx, "object", make([]byte, size)); err != nil {
		return err
	}
	perCall, err := s.bytesPer(r.times(100), func() error {
		_, err := objects.Read(r.ctx, "object")
		return err
	})
	if err != nil {
		return err
	}
	r.constant(capacity.ObjectBytes, unitBytes, "a read of an object, without the object", perCall-size)
	return nil
}

// listed is a host of the list.
func listed(i, pools, zones int) storage.Host {
	return storage.Host{
		ID:      fmt.Sprintf("engine-%05d", i),
		Kind:    storage.KindEngine,
		Name:    fmt.Sprintf("pool-%02d", i%pools),
		Zone:    fmt.Sprintf("zone-%02d", i/pools%zones),
		Address: fmt.Sprintf("127.0.0.1:%d", 10_000+i),
		State:   storage.HostLive,
	}
}

// The shape of the host lists.
const (
	pools = 22
	zones = 32
)

func (r *run) hostList(s *service) error {
	hosts := s.client.Hosts()
	call := func() error {
		_, err := hosts.Hosts(r.ctx)
		return err
	}
	var bytes, cpu, kept []capacity.Point
	known := 0
	for _, size := range []int{21, 1000, 4000, 12_000} {
		for ; known < size; known++ {
			s.server.Hosts().Set(listed(known, pools, zones))
		}
		if err := call(); err != nil {
			return err
		}
		copied := heapOf(func() any {
			list, _ := hosts.Hosts(r.ctx)
			return list
		})
		micros, err := r.cpuPer(200, call)
		if err != nil {
			return err
		}
		cpu = append(cpu, capacity.Point{X: float64(size), Y: micros})
		kept = append(kept, capacity.Point{X: float64(size), Y: 2 * copied})
	}
	for _, changed := range []int{0, 1, 10, 100} {
		if err := call(); err != nil {
			return err
		}
		for i := range changed {
			host := listed(i, pools, zones)
			host.Address = fmt.Sprintf("127.0.0.1:%d", 30_000+changed+i)
			s.server.Hosts().Set(host)
		}
		before := s.wire.settled()
		if err := call(); err != nil {
			return err
		}
		bytes = append(bytes, capacity.Point{X: float64(changed), Y: s.wire.settled() - before})
	}
	r.line(capacity.HostsBytes, unitBytes, "hosts changed since the last call", "request and answer, list of 12,000", bytes...)
	r.line(capacity.HostsCPU, unitCPU, "hosts listed", "a call without changes; "+bothEnds, cpu...)
	r.line(capacity.HostsMemory, unitBytes, "hosts listed", "the client's list and its caller's copy, taken as twice the copy", kept...)
	return nil
}
