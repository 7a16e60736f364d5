package daemon

import (
	"context"
	"math"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"shallotglade/pkg/account"
	"shallotglade/pkg/document"
	"shallotglade/pkg/placement"
)

// Guards against daemons that each admit the whole allowance, because they do not find the
// grantor over the peer transport, and against a stopping daemon that keeps its lease.
func TestDaemonsShareAnAllowance(t *testing.T) {
	hosts := []string{"fes-1", "fes-2"}
	f := newRestartedFleet(t, hosts)
	caller := account.Account{Name: "a", Rate: 0.01, Burst: 60}
	configuration := document.Configuration{RequireKeys: true, Accounts: []account.Account{caller}}
	var daemons []*Daemon
	for _, host := range hosts {
		d := f.start(t, host)
		f.g.Expect(d.board.PutConfiguration(&configuration, math.MaxInt64)).To(BeTrue())
		daemons = append(daemons, d)
	}
	admit := func(d *Daemon) bool {
		_, refusal := d.allowances.Admit(context.Background(), &caller, time.Now().Add(time.Second))
		return refusal == nil
	}
	held := func(d *Daemon) uint64 { return d.allowances.Stats().Held }
	admitted := 0
	for _, d := range daemons {
		f.g.Eventually(admit, 5*time.Second, 10*time.Millisecond).WithArguments(d).Should(BeTrue(), f.logged)
		admitted++
	}
	for i := range 200 {
		if admit(daemons[i%2]) {
			admitted++
		}
	}
	// The bucket holds 61 tokens. If a message is lost, up to 13 reserve tokens are used.
	f.g.Expect(admitted).To(BeNumerically("<=", 61+13), f.logged)
	holder, other := daemons[0], daemons[1]
	if held(holder) == 0 {
		holder, other = other, holder
	}
	f.g.Expect(held(holder)+held(other)).To(Equal(uint64(1)), f.logged)
	holder.releaseAllowances()
	f.g.Eventually(held, 2*time.Second, 10*time.Millisecond).WithArguments(other).Should(Equal(uint64(1)), f.logged)
	f.g.Expect(held(holder)).To(BeZero())
}

// Guards against a start of all hosts at once in which each daemon knows only itself, takes itself
// for the preferred grantor, and tries to take the lease.
func TestNoGrantorBeforeTheDaemonsAreKnown(t *testing.T) {
	d := &Daemon{adapter: Adapter{SelfRegistration: true}, roster: &roster{hosts: []placement.Host{{ID: "fes-1", PeerAddress: "a", Capacity: 1}}}}
	if list := d.grantorCandidates(0); len(list) > 0 {
		t.Fatalf("candidates %v before the daemons are known", list)
	}
	for _, known := range []*atomic.Bool{&d.rosterLoaded, &d.serving} {
		known.Store(true)
		if list := d.grantorCandidates(0); len(list) != 1 {
			t.Fatalf("candidates %v once the daemons are known", list)
		}
		known.Store(false)
	}
}
