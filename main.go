// Jaythread manages pools of instances: it keeps their availability budgets, runs
// jobs on them and routes callers' requests to them through growth, maintenance and
// failures.
package main

import (
	"os"

	"jaythread/jaycli"
)

func main() {
	os.Exit(jaycli.Run(os.Args))
}
