package devenv

import (
	"fmt"
	"time"

	"github.com/quetzalweir/quetzalweir/internal/standin/engine"
	"github.com/quetzalweir/quetzalweir/internal/standin/platformd"
	"github.com/quetzalweir/quetzalweir/internal/standin/service"
)

// Topology describes the platform and the upstreams that the entry hosts use.
// Upstreams are assigned to the availability zones in turn.
type Topology struct {
	// Manifest is the encoded manifest that Run submits.
	Manifest []byte
	// Platform has the options of the platform's stand-in.
	Platform platformd.Options
	// Engines has an element for each engine.
	Engines []Engine
	// Services has an element for each service instance, which is the name of
	// its service. There must be at least one instance.
	Services []string
	// ServiceOptions has the options of every service instance; New sets the id,
	// name and zone of each.
	ServiceOptions service.Options
}

// Engine describes one engine of a topology.
type Engine struct {
	// Versions are the loaded model versions, each as "model@version".
	Versions []string
	// Speed divides the engine's times per token; 0 means 1.
	Speed float64
}

// sampleTopology returns the topology that is used if Options has none.
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
		opts.TimePerToken = divideBy(opts.TimePerToken, spec.Speed)
		opts.PrefillPerToken = divideBy(opts.PrefillPerToken, spec.Speed)
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

func divideBy(d time.Duration, speed float64) time.Duration {
	return time.Duration(float64(d) / speed)
}
