// Command corianderpass runs the processes of the scheduler and talks to them.
package main

import (
	"os"

	"corianderpass/internal/process/command"
)

func main() {
	os.Exit(command.Main(os.Args[1:]))
}
