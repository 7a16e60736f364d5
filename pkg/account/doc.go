// Package account holds client accounts and finds them by the keys of requests.
//
// A Directory is built once for each configuration and never changes:
//
//	d, err := account.NewDirectory(accounts)
//	a, ok := d.Find(key)
//
// Keys are held as digests only. No error of this package contains a key or a digest.
package account
