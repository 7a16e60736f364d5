// Package fleettest starts real processes of the daemon and the stand-ins on
// loopback, for tests and measurements of failures that involve processes.
//
//	f := fleettest.New(binDir, workDir)
//	defer f.Close()
//	err := f.StartPlatform()
//	u, err := f.StartUpstream("registre-steles", "w1", "fes", 3)
//	d, err := f.StartDaemon("fes-1", "fes")
//	err = f.Apply(ctx, documentText)
//	d.Signal(syscall.SIGSTOP)
//
// The processes are ended by Close, each by its own id.
package fleettest
