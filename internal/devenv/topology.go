package devenv

import (
	"fmt"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/standin/engine"
	"github.com/quetzalweir/quetzalweir/internal/standin/platformd"
	"github.com/quetzalweir/quetzalweir/internal/standin/service"
)

// Topology is what stands around the entry hosts. Upstreams are spread over the
// availability zones in turn.
type Topology struct {
	// Manifest is the document that Run submits.
	Manifest []byte
	// Platform are the settings of the platform's stand-in.
	Platform platformd.Options
	// Engines has an element for each engine.
	Engines []Engine
	// Services has the service's name for each host of one; at least one.
	Services []string
	// ServiceOptions is taken for each of these, with id, name and zone set.
	ServiceOptions service.Options
}

// Engine is one engine of a topology.
type Engine struct {
	// Versions are the loaded ones as "model@version".
	Versions []string
	// Speed divides the engine's times; 0 is 1.
	Speed float64
}

// sampleTopology is what newcomers see.
func sampleTopology() *Topology {
	return &Topology{
		Manifest: Manifest(),
		Engines: []Engine{
			{Versions: []string{"small@v1", "small@v2"}},
			{Versions: []string{"small@v1", "small@v2"}},
			{Versions: []string{"large@v1"}},
			{Versions: []string{"large@v1"}},
		},
		Services: []string{"lanes"},
	}
}

func (e *Env) addUpstreams(shared engine.Options, t *Topology) error {
	for i, spec := range t.Engines {
		if err := e.addEngine(shared, i, spec); err != nil {
			return err
		}
	}
	for i, name := range t.Services {
		if err := e.addService(t.ServiceOptions, i, name); err != nil {
			return err
		}
	}
	e.Service = e.Services[0]
	return nil
}

func (e *Env) addEngine(opts engine.Options, i int, spec Engine) error {
	opts.ID = fmt.Sprintf("engine-%d", i+1)
	opts.Name = "engines"
	opts.Zone = zones[i%len(zones)]
	opts.Versions = spec.Versions
	if spec.Speed > 0 {
		opts.TimePerToken = scaled(opts.TimePerToken, spec.Speed)
		opts.PrefillPerToken = scaled(opts.PrefillPerToken, spec.Speed)
	}
	eng := engine.New(opts)
	if err := eng.Bind(); err != nil {
		return err
	}
	e.Engines = append(e.Engines, eng)
	e.Platform.Hosts().Set(eng.Host())
	return nil
}

func (e *Env) addService(opts service.Options, i int, name string) error {
	opts.ID = fmt.Sprintf("%s-%d", name, i+1)
	opts.Name = name
	opts.Zone = zones[i%len(zones)]
	s := service.New(opts)
	if err := s.Bind(); err != nil {
		return err
	}
	e.Services = append(e.Services, s)
	e.Platform.Hosts().Set(s.Host())
	return nil
}

func scaled(d time.Duration, speed float64) time.Duration {
	return time.Duration(float64(d) / speed)
}
