package daemon

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"shallotglade/pkg/account"
	"shallotglade/pkg/allowance"
)

// oneAccount is a configuration with one account.
type oneAccount struct{ account.Account }

func (o *oneAccount) Version() uint64                      { return 1 }
func (o *oneAccount) HasRates() bool                       { return true }
func (o *oneAccount) Find(string) (*account.Account, bool) { return &o.Account, true }

// Guards against daemons that each admit the whole allowance, because they do not find the
// grantor over the peer transport, and against a stopping daemon that keeps its lease.
func TestDaemonsShareAnAllowance(t *testing.T) {
	hosts := []string{"fes-1", "fes-2"}
	f := newRestartedFleet(t, hosts)
	accounts := &oneAccount{account.Account{Name: "a", Rate: 0.01, Burst: 60}}
	var daemons []*Daemon
	for _, host := range hosts {
		d := f.start(t, host)
		d.provisionAllowances(allowance.Limits{}, accounts)
		go d.allowances.Run(t.Context())
		daemons = append(daemons, d)
	}
	admit := func(d *Daemon) bool {
		_, refusal := d.allowances.Admit(context.Background(), &accounts.Account, time.Now().Add(time.Second))
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
