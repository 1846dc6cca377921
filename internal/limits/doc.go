// Package limits holds the bounds and timeouts of the program's sockets, queues and memory, each with its unit and the
// reason for its size. There is one file for each part of the program. The package consists of constants only and imports
// nothing from this module.
//
// Times that the site's settings give are computed where they are used; the defaults here apply where the settings have
// none. Parameters of decisions about requests (choice of endpoint, queueing, rejection, retries, health checks, votes) are
// in package policy, and limits that a protocol sets are next to its parser.
package limits
