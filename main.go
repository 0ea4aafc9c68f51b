// Jaythread keeps pools of instances, their jobs and their callers' requests
// through growth, maintenance and failure.
package main

import (
	"os"

	"jaythread/jaycli"
)

func main() {
	os.Exit(jaycli.Run(os.Args))
}
