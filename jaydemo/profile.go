// Package jaydemo runs a whole small installation in one process: stand-ins of
// the platform, eight entry instances, callers and an operator. It judges the
// promises by what the stand-ins and the callers saw.
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

// Profile is a user's installation as the brief gives it.
type Profile struct {
	Name        string
	TimeZone    string
	DataCenters []string
	Services    []string
	// Payments is the service whose requests must run at most once.
	Payments        string
	WorkersEach     int
	RackSize        int
	Slots           int
	Connections     int
	Processors      int64
	MemoryGigabytes int64
	MinAvailable    int
	ServiceTime     time.Duration
}

// Mesob is Mesob Learning Systems.
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

// Qalam is Qalam Works.
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

// ProfileNamed returns a profile by its name.
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

// placement is where a worker stands.
type placement struct {
	id         string
	service    string
	dataCenter string
	rack       string
}

// layout spreads each service over the data centres and fills racks with
// workers of different services, as the brief's failure domains suggest.
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

// Workers returns the profile's workers as the instance list shows them,
// without addresses.
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

// AddWorkers starts the profile's workers at a fleet.
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

// Document returns the sample configuration as operators write it.
func (p Profile) Document() string {
	text, err := json.MarshalIndent(p.Configuration(), "", "  ")
	if err != nil {
		// The structs above always marshal.
		panic(err)
	}
	return string(text)
}
