package jaycli

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"jaythread/platform/jaystub"
)

// maxStandinMachines limits the number of machines of one stand-in, which listens
// on one port for each machine.
const maxStandinMachines = 1000

func standinJobsCommand() *cli.Command {
	return command(&cli.Command{
		Name:  "jobs",
		Usage: "run a stand-in of the platform that the job service runs on",
		Description: "For trials only: a store, an inventory and workers, each at a loopback address of its own. A job's spec says\n" +
			"what its tasks do: \"150ms\" takes so long, \"fail\" fails, \"last\" runs until it is stopped; with \"crash=1@5ms\" behind\n" +
			"that, the tasks of index 1 crash their worker 5 ms after their start. A worker that has crashed is back under its ID\n" +
			"after --reboot. Example: jaythread standin jobs --machines 50 --resize-every 10s --resize-to 0.25",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "pool", Value: []string{"seats", "fees"}, Usage: "`NAME` of a pool, also its queue's prefix; may be repeated"},
			&cli.IntFlag{Name: "machines", Value: 8, Usage: "`COUNT` of machines, dealt to the pools in turn"},
			&cli.IntFlag{Name: "room", Value: 8, Usage: "`COUNT` of cores, and of gigabytes, that each machine has"},
			&cli.StringSliceFlag{Name: "unguarded", Usage: "`NAME` of a pool whose workers start whatever they are told to; may be repeated"},
			&cli.DurationFlag{Name: "stop", Value: 100 * time.Millisecond, Usage: "`TIME` that a task runs on after it was told to stop"},
			&cli.DurationFlag{Name: "move", Value: 1500 * time.Millisecond, Usage: "`TIME` that a move or a maintenance takes"},
			&cli.DurationFlag{Name: "reboot", Value: 2 * time.Second, Usage: "`TIME` that a worker is away that a task has crashed"},
			&cli.DurationFlag{Name: "resize-every", Usage: "`TIME` between changes of all capacities, there and back; 0 is never"},
			&cli.FloatFlag{Name: "resize-to", Value: 0.5, Usage: "`SHARE` of its room that each machine then has"},
		},
		Action: standinJobs,
	})
}

func standinJobs(ctx context.Context, c *cli.Command) error {
	if err := checkStandinJobs(c); err != nil {
		return err
	}
	platform, err := jaystub.NewPlatform(rand.Float64)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	defer platform.Close()
	platform.StopTime, platform.DownTime, platform.RebootTime = c.Duration("stop"), c.Duration("move"), c.Duration("reboot")
	platform.UnguardedPools = map[string]bool{}
	for _, pool := range c.StringSlice("unguarded") {
		platform.UnguardedPools[pool] = true
	}
	pools := c.StringSlice("pool")
	var queues [][3]string
	for _, pool := range pools {
		queues = append(queues, [3]string{"localhost", "/" + pool + "/", pool})
	}
	platform.Configure(1, queues...)
	for n := range c.Int("machines") {
		if _, err := platform.AddMachine(fmt.Sprintf("m%03d", n), pools[n%len(pools)], c.Int("room")); err != nil {
			return fmt.Errorf("machine %d: %w", n, err)
		}
	}
	printLine(c, "store: %s", platform.StoreAddr)
	printLine(c, "inventory: %s", platform.InventoryAddr)
	printLine(c, "queues: %s of the host localhost", "/"+strings.Join(pools, "/ /")+"/")
	resizePeriodically(ctx, platform, c.Duration("resize-every"), c.Int("room"), int(c.Float("resize-to")*float64(c.Int("room"))))
	for _, violation := range platform.Checker.Violations() {
		printLine(c, "broken: %s: %s", violation.Rule, violation.Text)
	}
	return nil
}

func checkStandinJobs(c *cli.Command) error {
	pools := c.StringSlice("pool")
	switch {
	case len(pools) == 0 || slices.Contains(pools, ""):
		return usageError("--pool takes the name of a pool")
	case c.Int("machines") < 1 || c.Int("machines") > maxStandinMachines:
		return usageError("--machines: %d is not between 1 and %d", c.Int("machines"), maxStandinMachines)
	case c.Int("room") < 1:
		return usageError("--room: %d is not above 0", c.Int("room"))
	case c.Float("resize-to") < 0:
		return usageError("--resize-to: %v is below 0", c.Float("resize-to"))
	}
	for _, pool := range c.StringSlice("unguarded") {
		if !slices.Contains(pools, pool) {
			return usageError("--unguarded: no pool %q; there are %s", pool, strings.Join(pools, ", "))
		}
	}
	return nil
}

// resizePeriodically switches the capacity of all machines between two values at an
// interval until the context is done. Without an interval it only waits for the
// context.
func resizePeriodically(ctx context.Context, platform *jaystub.Platform, every time.Duration, whole, other int) {
	if every <= 0 {
		<-ctx.Done()
		return
	}
	tick := time.NewTicker(every)
	defer tick.Stop()
	for room, next := other, whole; ; room, next = next, room {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		for _, m := range platform.Machines() {
			platform.Resize(m.Name, room)
		}
	}
}
