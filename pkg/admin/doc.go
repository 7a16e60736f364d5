// Package admin is the administration API of a daemon and its client.
//
// Every daemon serves the same API on its admin address. A key belongs to a
// team and reaches only the services of that team; a key of team "*" reaches
// everything. Changes of a document are conditional updates of the platform
// object: an operator states the version that was edited, and one of two who
// race gets a Conflict with both texts and their difference. A lost reply of the
// platform is settled by reading back.
//
//	GET    /v1/services                     names, versions and teams
//	GET    /v1/services/{name}              document and version
//	PUT    /v1/services/{name}              If-Match: <version> or If-None-Match: *
//	DELETE /v1/services/{name}              If-Match: <version>
//	POST   /v1/validate                     all problems of a document
//	GET    /v1/services/{name}/history      earlier versions
//	GET    /v1/services/{name}/status       what this daemon sees of the upstreams
//	GET    /v1/services/{name}/status?all=1 the same of every home
//	GET    /v1/daemons                      what this daemon sees of the others
//	POST   /v1/drain                        ask this daemon to leave
//	GET    /metrics, /livez, /readyz        without a key
package admin
