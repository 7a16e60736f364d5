package daemon

import "testing"

// Guards against a crash when a handshake arrives before all components of the daemon exist.
func TestHandshakeBeforeDaemonIsProvisioned(t *testing.T) {
	if key := (&Daemon{}).registeredKeyHash("fes-1.0a"); key != "" {
		t.Fatalf("key %q", key)
	}
}
