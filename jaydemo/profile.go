// Package jaydemo runs a small installation in one process: a simulated platform, eight
// entry instances, callers and an operator. It checks the system's guarantees against what
// the simulated platform and the callers observe.
package jaydemo

import (
	"encoding/json"
	"fmt"
	"time"

	"jaythread/jayconfig"
	"jaythread/jayplatform"
	"jaythread/jayrule"
	"jaythread/jaystandin"
)

// Profile describes the installation of a user, as the requirements specify it.
type Profile struct {
	Name        string
	TimeZone    string
	DataCenters []string
	Services    []string
	// Payments is the service whose requests must run at most once.
	Payments string
	// WorkersEach is the number of workers of each service.
	WorkersEach int
	// RackSize is the largest number of workers in a rack.
	RackSize int
	// Slots is the number of requests that a worker runs at the same time.
	Slots int
	// Connections is the limit of connections to a worker.
	Connections int
	// Processors is the number of cores of each worker.
	Processors      int64
	MemoryGigabytes int64
	// MinAvailable is the number of workers of each service that must stay available.
	MinAvailable int
	// ServiceTime is how long a worker takes for a request.
	ServiceTime time.Duration
}

// Mesob returns the profile of Mesob Learning Systems.
func Mesob() Profile {
	return Profile{
		Name:            "mesob",
		TimeZone:        "Africa/Addis_Ababa",
		DataCenters:     []string{"bole", "arat-kilo", "piassa"},
		Services:        []string{"seats", "fees", "catalogue", "registry", "backoffice"},
		Payments:        "fees",
		WorkersEach:     10,
		RackSize:        4,
		Slots:           8,
		Connections:     64,
		Processors:      64,
		MemoryGigabytes: 256,
		MinAvailable:    7,
		ServiceTime:     8 * time.Millisecond,
	}
}

// Qalam returns the profile of Qalam Works.
func Qalam() Profile {
	p := Mesob()
	p.Name = "qalam"
	p.TimeZone = "Asia/Almaty"
	p.DataCenters = []string{"almaty-1", "almaty-2", "almaty-3"}
	p.Services = []string{"matching", "portfolio", "trust", "payments", "misc"}
	p.Payments = "payments"
	p.Processors = 16
	p.MemoryGigabytes = 32
	p.MinAvailable = 6
	p.ServiceTime = 5 * time.Millisecond
	return p
}

// ProfileNamed returns the profile with the given name.
func ProfileNamed(name string) (Profile, error) {
	switch name {
	case "mesob":
		return Mesob(), nil
	case "qalam":
		return Qalam(), nil
	default:
		return Profile{}, fmt.Errorf("%q is none of mesob, qalam", name)
	}
}

// placement is the location of a worker.
type placement struct {
	id         string
	service    string
	dataCenter string
	rack       string
}

// layout returns the placements of all workers. It spreads each service over the data
// centres and fills racks with workers of different services, in accordance with the failure
// domains in the requirements.
func (p Profile) layout() []placement {
	perCenter := map[string]int{}
	var all []placement
	for n := range p.WorkersEach {
		for s, service := range p.Services {
			center := p.DataCenters[(n+s)%len(p.DataCenters)]
			rack := fmt.Sprintf("rack-%d", perCenter[center]/p.RackSize+1)
			perCenter[center]++
			all = append(all, placement{
				id:         fmt.Sprintf("%s-%02d", service, n+1),
				service:    service,
				dataCenter: center,
				rack:       rack,
			})
		}
	}
	return all
}

// Workers returns the profile's workers as they appear in the instance list, without
// addresses.
func (p Profile) Workers() []jayplatform.Instance {
	var workers []jayplatform.Instance
	for _, at := range p.layout() {
		workers = append(workers, jayplatform.Instance{
			ID:              at.id,
			Kind:            jayplatform.Worker,
			DataCenter:      at.dataCenter,
			Rack:            at.rack,
			State:           jayplatform.Live,
			ProcessorsMilli: p.Processors * 1000,
			MemoryMegabytes: p.MemoryGigabytes * 1024,
		})
	}
	return workers
}

// AddWorkers starts the profile's workers in a fleet and sets the minimum number of available
// workers of each service.
func (p Profile) AddWorkers(fleet *jaystandin.Fleet) error {
	layout := p.layout()
	for n, spec := range p.Workers() {
		if _, err := fleet.AddWorker(spec, layout[n].service, p.Slots, p.ServiceTime); err != nil {
			return err
		}
	}
	for _, service := range p.Services {
		fleet.Ledger.SetMinimum(service, p.MinAvailable)
	}
	return nil
}

// Configuration returns the profile's sample configuration.
func (p Profile) Configuration() *jayconfig.Configuration {
	c := &jayconfig.Configuration{TimeZone: p.TimeZone}
	c.Teams = []jayconfig.Team{{Name: "platform", Processors: 1000, MemoryGigabytes: 4000}}
	yes := true
	for _, service := range p.Services {
		c.Pools = append(c.Pools, jayconfig.Pool{
			Name:         service,
			Instances:    []string{service + "-*"},
			MinAvailable: p.MinAvailable,
			Survive:      "rack",
			Slots:        p.Slots,
			Connections:  p.Connections,
		})
		c.Jobs = append(c.Jobs, jayconfig.Job{
			Name: service + "-index", Pool: service, Team: "platform", Replicas: 3, Processors: 2, MemoryGigabytes: 4,
		})
		route := jayrule.Then{Route: service, Idempotent: &yes}
		when := jayrule.When{Path: []string{"/" + service + "/*"}, Method: []string{"GET", "HEAD"}}
		c.Rules = append(c.Rules, jayrule.Rule{Name: service + "Reads", About: jayrule.AboutRequest, When: when, Then: route})
		write := jayrule.Then{Route: service}
		if service == p.Payments {
			write.Priority = "urgent"
		}
		c.Rules = append(c.Rules, jayrule.Rule{
			Name: service + "Writes", About: jayrule.AboutRequest,
			When: jayrule.When{Path: []string{"/" + service + "/*"}}, Then: write,
		})
	}
	return c
}

// Document returns the sample configuration as a JSON document.
func (p Profile) Document() string {
	text, err := json.MarshalIndent(p.Configuration(), "", "  ")
	if err != nil {
		// The configuration has no value that cannot be marshalled.
		panic(err)
	}
	return string(text)
}
