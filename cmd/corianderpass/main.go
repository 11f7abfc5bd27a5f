// Command corianderpass runs the processes of the scheduler and is their command-line client. See
// package command.
package main

import (
	"os"

	"corianderpass/internal/process/command"
)

func main() {
	os.Exit(command.Main(os.Args[1:]))
}
