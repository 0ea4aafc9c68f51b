// Package jayplatform defines the interfaces to the platform's log service,
// instance list and worker control, and an HTTP client that implements them. The
// interfaces are small because the users' own wire formats may differ from the
// client's.
package jayplatform

import (
	"errors"
	"time"
)

// Errors of the platform.
var (
	// ErrUnavailable means that the platform did not respond. The call may have
	// taken effect.
	ErrUnavailable = errors.New("platform does not answer")
	// ErrRefused means that the platform refused the call, which did not take
	// effect.
	ErrRefused = errors.New("platform refused")
	// ErrExpired means that the log service no longer retains the requested
	// records.
	ErrExpired = errors.New("records have expired")
)

// Record is one record of a stream.
type Record struct {
	Offset     uint64 `json:"offset"`
	UnixMillis int64  `json:"unixMillis"`
	Data       []byte `json:"data"`
}

// Page is a range of consecutive records.
type Page struct {
	// First is the oldest offset that the log service retains.
	First uint64 `json:"first"`
	// Next is the offset that the next appended record will get.
	Next    uint64   `json:"next"`
	Records []Record `json:"records"`
}

// Log is the platform's append-only log service.
type Log interface {
	// Append adds a record to a stream and returns its offset. If it returns
	// ErrUnavailable, the record may have been appended.
	Append(stream string, record []byte) (uint64, error)
	// Read returns records from an offset on. It waits for the first of them for at
	// most the given time.
	Read(stream string, from uint64, wait time.Duration) (Page, error)
}

// InstanceState is the state of an instance in the instance list.
type InstanceState string

// States of an instance.
const (
	Live    InstanceState = "live"
	Down    InstanceState = "down"
	Leaving InstanceState = "leaving"
	Gone    InstanceState = "gone"
)

// InstanceKind distinguishes workers from the system's own instances.
type InstanceKind string

// Kinds of instances.
const (
	Worker InstanceKind = "worker"
	Entry  InstanceKind = "entry"
)

// Instance is an element of the instance list.
type Instance struct {
	ID              string        `json:"id"`
	Kind            InstanceKind  `json:"kind"`
	Addr            string        `json:"addr"`
	DataCenter      string        `json:"dataCenter"`
	Rack            string        `json:"rack"`
	State           InstanceState `json:"state"`
	ProcessorsMilli int64         `json:"processorsMilli"`
	MemoryMegabytes int64         `json:"memoryMegabytes"`
	Accelerators    int64         `json:"accelerators"`
	// Boots is the number of times that the instance has started.
	Boots int `json:"boots"`
	// InFlight is the number of requests that the instance is running. It lags like
	// the list.
	InFlight int `json:"inFlight"`
	// Tasks holds the instance's reports on its tasks. They lag like the list.
	Tasks []TaskReport `json:"tasks"`
}

// TaskState is the state of a task as reported by its worker.
type TaskState string

// States of a task.
const (
	TaskRunning TaskState = "running"
	TaskFailed  TaskState = "failed"
	TaskStopped TaskState = "stopped"
)

// TaskReport is a worker's report on one task.
type TaskReport struct {
	Job             string    `json:"job"`
	Replica         int       `json:"replica"`
	Fence           uint64    `json:"fence"`
	State           TaskState `json:"state"`
	ProcessorsMilli int64     `json:"processorsMilli"`
	MemoryMegabytes int64     `json:"memoryMegabytes"`
}

// Changes holds the instances that changed after a version, and the version that
// includes these changes.
type Changes struct {
	Version   uint64     `json:"version"`
	Instances []Instance `json:"instances"`
}

// InstanceList is the platform's list of instances, which lags behind their actual
// state.
type InstanceList interface {
	// Since returns the instances that changed after a version. It waits for a
	// change for at most the given time. Version zero requests all instances.
	Since(version uint64, wait time.Duration) (Changes, error)
}

// Order is a command to the platform about an instance or one of its tasks. It is
// sent with a fence; a worker refuses an order with a lower fence than that of the
// last one.
type Order interface {
	isOrder()
}

// Drain orders a worker to refuse new work and finish the work that it has.
type Drain struct{}

// Undrain orders a worker to accept new work again.
type Undrain struct{}

// Reboot orders a restart of a worker.
type Reboot struct{}

// StartTask orders the start of a task under a lease that the platform renews.
type StartTask struct {
	Job     string `json:"job"`
	Replica int    `json:"replica"`
}

// StopTask orders a worker to checkpoint and stop a task.
type StopTask struct {
	Job     string `json:"job"`
	Replica int    `json:"replica"`
}

func (Drain) isOrder()     {}
func (Undrain) isOrder()   {}
func (Reboot) isOrder()    {}
func (StartTask) isOrder() {}
func (StopTask) isOrder()  {}

// Workers is the platform's interface to control workers.
type Workers interface {
	// Do sends an order about an instance. An order is idempotent by its instance, kind
	// and fence.
	Do(instance string, fence uint64, order Order) error
}
