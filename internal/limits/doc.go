// Package limits holds the bounds and timeouts of the program's sockets, queues and memory, each with its unit and the
// reason for its size; a file for each part of the program that they bound. It holds constants alone, no state, and
// imports nothing of the program. Times that the site's settings give are derived from those where they are used; the
// defaults here hold where the settings have none. What is decided about a request (endpoint, queueing, rejection,
// retries, health checks, votes) is package policy's, and facts of a protocol stand with its parser.
package limits
