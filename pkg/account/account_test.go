package account_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"shallotglade/pkg/account"
)

func keyOf(i int) []byte { return fmt.Appendf(nil, "key-%08d-of-an-account", i) }

func newAccounts(n int) []account.Account {
	out := make([]account.Account, n)
	for i := range out {
		out[i] = account.Account{Name: fmt.Sprintf("account-%d", i), Keys: []account.Digest{account.DigestOf(keyOf(i))}, Rate: 5, Burst: 5}
	}
	return out
}

// Guards against a key that selects another account than its own, or any although none has it.
func TestFind(t *testing.T) {
	accounts := newAccounts(1000)
	accounts[7].Keys = append(accounts[7].Keys, account.DigestOf([]byte("second")), account.DigestOf([]byte("second")))
	d, err := account.NewDirectory(accounts)
	if err != nil {
		t.Fatal(err)
	}
	for i := range accounts {
		a, ok := d.Find(keyOf(i))
		byName, named := d.ByName(accounts[i].Name)
		if !ok || !named || a != byName || a.Name != accounts[i].Name {
			t.Fatalf("account %d: found %v %v, by name %v %v", i, a, ok, byName, named)
		}
	}
	if a, ok := d.Find([]byte("second")); !ok || a.Name != "account-7" {
		t.Errorf("second key: found %v %v", a, ok)
	}
	for _, key := range []string{"", "unknown", "account-7", strings.Repeat("k", account.MaxKeyBytes+1)} {
		if a, ok := d.Find([]byte(key)); ok {
			t.Errorf("key %q selects %v", key, a.Name)
		}
	}
}

// Guards against a directory in which a key or a name is ambiguous or cannot be sent in a
// header, and against an error that does not name the account.
func TestInvalidAccounts(t *testing.T) {
	negative := -1
	shared := []account.Digest{account.DigestOf([]byte("secret"))}
	for want, accounts := range map[string][]account.Account{
		`account "b"`:                          {{Name: "a"}, {Name: "b"}, {Name: "b"}},
		`accounts "a" and "b" have a key`:      {{Name: "a", Keys: shared}, {Name: "b", Keys: shared}},
		`account ""`:                           {{}},
		`account "a\r\nx"`:                     {{Name: "a\r\nx"}},
		`account "` + strings.Repeat("n", 64):  {{Name: strings.Repeat("n", account.MaxNameBytes+1)}},
		`account "p": the priority`:            {{Name: "p", Priority: &negative}},
		`account "r": the rate`:                {{Name: "r", Rate: -1}},
		`account "c": the burst must be 0 to `: {{Name: "c", Burst: 1e300}},
	} {
		if _, err := account.NewDirectory(accounts); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", want, err)
		}
	}
}

// BenchmarkFind reports the time of a look-up and the memory of a directory of 62,000
// accounts, the number of the largest deployment.
func BenchmarkFind(b *testing.B) {
	const accounts = 62_000
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	d, err := account.NewDirectory(newAccounts(accounts))
	if err != nil {
		b.Fatal(err)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	keys := make([][]byte, 1024)
	for i := range keys {
		keys[i] = keyOf(i * 60)
	}
	i := 0
	for b.Loop() {
		if _, ok := d.Find(keys[i%len(keys)]); !ok {
			b.Fatal("not found")
		}
		i++
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/accounts, "B/account")
}
