package daemon

import "testing"

// Guards against a handshake that arrives while the daemon is still being put together and ends the process.
func TestHandshakeBeforeTheListOfDaemonsIsRead(t *testing.T) {
	if key := (&Daemon{}).keyOf("fes-1.0a"); key != "" {
		t.Fatalf("key %q", key)
	}
}
