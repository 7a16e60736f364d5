// Package fleettest starts the daemon and the stand-ins as real processes on
// loopback, for tests and measurements of process failures.
//
//	f := fleettest.New(binDir, workDir)
//	defer f.Close()
//	err := f.StartPlatform()
//	u, err := f.StartUpstream("registre-steles", "w1", "fes", 3)
//	d, err := f.StartDaemon("fes-1", "fes")
//	version, err := f.Apply(ctx, documentText)
//	d.Signal(syscall.SIGSTOP)
//
// Close kills the processes that the fleet started, each by its process id.
package fleettest
