// Command standin plays the cases in the folder review. It starts the entry
// and worker processes of the project with the commands of the deploy file, and
// stand-ins of the platform's store, of the receiver of usage reports, of model
// replicas and plain services, and of clients, all on loopback addresses.
//
// # Usage
//
//	standin CASE FOLDER    # from the repository root; FOLDER gets record.txt
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could
// not run. With TROUBLE=0 in the environment it leaves out the disruption.
package main
