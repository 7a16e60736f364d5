// Package harness runs a small fleet of the real daemon against stand-ins of the
// users' store, servers and clients. It is used by the cases under review/ and is
// not part of the product.
package harness
