package jayoptions

import (
	"time"

	"jaythread/jaydocument"
)

// JobService holds the settings of an entry that schedules jobs on the users'
// platform. Job scheduling is enabled by setting StoreAddr.
type JobService struct {
	// StoreAddr, InventoryAddr and AdvisorAddr are the IP:PORT addresses of the
	// platform's services. InventoryAddr and AdvisorAddr are empty if the platform
	// has no such service.
	StoreAddr     string `json:"storeAddr"`
	InventoryAddr string `json:"inventoryAddr"`
	AdvisorAddr   string `json:"advisorAddr"`
	// ReadyAddr is the IP:PORT that serves readiness checks to the load balancer.
	ReadyAddr string `json:"readyAddr"`
	// MetricsAddr is the IP:PORT that serves the metrics; if it is empty, metrics
	// are not served.
	MetricsAddr string `json:"metricsAddr"`
	// TrustedNetwork states that only the system's own processes can reach the peer
	// address. The peer link then needs no TLS keys off loopback.
	TrustedNetwork bool `json:"trustedNetwork"`
	// Processors is the number of processors available to the entry, LinkMegabits
	// the bandwidth of its network link in megabits per second. Duties are assigned
	// first to the entries with the most resources.
	Processors   float64 `json:"processors"`
	LinkMegabits float64 `json:"linkMegabits"`
	// MemoryMegabytes is the memory that the entry may use, in 2^20 bytes. Jobs for which there is
	// none are rejected.
	MemoryMegabytes int64 `json:"memoryMegabytes"`
	// StoreReadRate is the number of reads per second that the store serves all entries
	// together. Entries that are many read less often. Zero means that there is no limit.
	StoreReadRate float64 `json:"storeReadRate"`
	// InventoryCommandRate is the number of commands to instances per second that the
	// inventory serves all entries together. Zero means that there is no limit.
	InventoryCommandRate float64 `json:"inventoryCommandRate"`
	// MaxLease is the longest lease that a worker accepts.
	MaxLease Duration `json:"maxLease"`
	// StopTime is the longest time that a worker takes to stop a run.
	StopTime Duration `json:"stopTime"`
	// GangTime is how long the members of a gang wait for each other. It is validated
	// but has no effect.
	GangTime Duration `json:"gangTime"`
	// FarFactor is the factor by which the duration of a task grows when it runs on a
	// worker outside the rack of its data or step. It is validated but has no effect:
	// the scheduler does not use it.
	FarFactor float64 `json:"farFactor"`
	// MoveTime and MaintenanceTime are how long an instance is unavailable during a
	// move and during maintenance.
	MoveTime        Duration `json:"moveTime"`
	MaintenanceTime Duration `json:"maintenanceTime"`
	// HolderTime is the delay after one holder of an instance's lease before the
	// next holder may act.
	HolderTime Duration `json:"holderTime"`
	// FencesChecked states that the inventory rejects commands with a fence lower
	// than the highest one that the instance has received. Without it, each command
	// waits until it is recorded, and no instance is moved while the store is
	// unavailable.
	FencesChecked bool `json:"fencesChecked"`
	// NoticeTime is how long an unavailable task counts against its step. It is
	// validated but has no effect.
	NoticeTime Duration `json:"noticeTime"`
	// SilenceTime is the age at which workers' reports are considered outdated. It is
	// validated but has no effect.
	SilenceTime Duration `json:"silenceTime"`
	// RetainEnded is how long the state of an ended job remains available.
	RetainEnded Duration `json:"retainEnded"`
	// RevocationTime is how long after the removal of an API key calls with it may
	// still be accepted. An entry that has not read the declarations for that long
	// rejects calls with keys. Zero means that there is no limit.
	RevocationTime Duration `json:"revocationTime"`
	// DeclarationTime is how long after a change of the declarations the former ones
	// may still be applied to callers' requests and to the start of tasks. An entry that
	// has not read the declarations for that long starts no tasks of organisations with
	// a quota, and rejects requests while the store limits the rate of its reads. Zero
	// means that there is no limit.
	DeclarationTime Duration `json:"declarationTime"`
	// Overload selects the decisions under a load that the pools have too little room for.
	Overload Overload `json:"overload"`
}

// newJobService returns the default settings, which match the current deployments.
func newJobService() JobService {
	return JobService{
		Processors:      1,
		LinkMegabits:    1000,
		MemoryMegabytes: 256,
		MaxLease:        Duration(10 * time.Second),
		StopTime:        Duration(200 * time.Millisecond),
		GangTime:        Duration(3 * time.Second),
		FarFactor:       1.5,
		MoveTime:        Duration(1500 * time.Millisecond),
		MaintenanceTime: Duration(2 * time.Second),
		HolderTime:      Duration(3 * time.Second),
		NoticeTime:      Duration(4500 * time.Millisecond),
		SilenceTime:     Duration(4500 * time.Millisecond),
		RetainEnded:     Duration(2 * time.Minute),
	}
}

// Enabled reports whether the entry schedules jobs.
func (j *JobService) Enabled() bool {
	return j.StoreAddr != ""
}

const (
	// minCommandsInFlight and maxCommandsInFlight bound the number of commands in flight, and
	// so of the connections to the inventory, of one entry.
	minCommandsInFlight = 16
	maxCommandsInFlight = 512
)

// CommandsInFlight returns the number of commands to the inventory that may wait for their
// answer: those of one second, so that a burst within the rate is not held up.
func (j *JobService) CommandsInFlight() int {
	return min(maxCommandsInFlight, max(minCommandsInFlight, int(j.InventoryCommandRate)))
}

func (j *JobService) check(d *jaydocument.Document) {
	if !j.Enabled() {
		return
	}
	checkAddress(d, "/jobService/storeAddr", j.StoreAddr)
	checkAddress(d, "/jobService/readyAddr", j.ReadyAddr)
	for pointer, value := range map[string]string{
		"/jobService/inventoryAddr": j.InventoryAddr,
		"/jobService/advisorAddr":   j.AdvisorAddr,
		"/jobService/metricsAddr":   j.MetricsAddr,
	} {
		if value != "" {
			checkAddress(d, pointer, value)
		}
	}
	checkNumber(d, "/jobService/processors", j.Processors, 0.01, 1024)
	checkNumber(d, "/jobService/linkMegabits", j.LinkMegabits, 0.1, 1e6)
	checkNumber(d, "/jobService/memoryMegabytes", float64(j.MemoryMegabytes), 64, 1<<20)
	checkNumber(d, "/jobService/storeReadRate", j.StoreReadRate, 0, 1e9)
	checkNumber(d, "/jobService/inventoryCommandRate", j.InventoryCommandRate, 0, 1e6)
	checkNumber(d, "/jobService/farFactor", j.FarFactor, 1, 1000)
	checkDuration(d, "/jobService/maxLease", j.MaxLease, 500*time.Millisecond, time.Hour)
	checkDuration(d, "/jobService/stopTime", j.StopTime, 0, time.Minute)
	checkDuration(d, "/jobService/gangTime", j.GangTime, 100*time.Millisecond, time.Hour)
	checkDuration(d, "/jobService/moveTime", j.MoveTime, 0, time.Hour)
	checkDuration(d, "/jobService/maintenanceTime", j.MaintenanceTime, 0, 24*time.Hour)
	checkDuration(d, "/jobService/holderTime", j.HolderTime, 0, time.Hour)
	checkDuration(d, "/jobService/noticeTime", j.NoticeTime, 0, time.Hour)
	checkDuration(d, "/jobService/silenceTime", j.SilenceTime, 100*time.Millisecond, time.Hour)
	checkDuration(d, "/jobService/retainEnded", j.RetainEnded, time.Second, 24*time.Hour)
	checkDuration(d, "/jobService/declarationTime", j.DeclarationTime, 0, 24*time.Hour)
	checkDuration(d, "/jobService/revocationTime", j.RevocationTime, 0, 24*time.Hour)
	j.Overload.check(d)
}

func checkNumber(d *jaydocument.Document, pointer string, value, low, high float64) {
	if value < low || value > high {
		d.Add(pointer, "%v is outside %v to %v", value, low, high)
	}
}
