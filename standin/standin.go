// Package standin provides stand-ins for the services around the system: the platform's log service and a
// backend server, both with fault injection. They are used in tests, demos and benchmarks only.
package standin
