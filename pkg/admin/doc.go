// Package admin implements the administration API of a daemon and its client.
//
// Every daemon serves the same API on its admin address. A key belongs to a
// team and grants access only to the services of that team; a key of team "*"
// grants access to everything. A change of a document is a conditional update of
// the platform object: the operator states the version that was edited. Of two
// concurrent changes, one is rejected with a conflict that contains both texts and
// their difference. If a reply of the platform is lost, the daemon reads the
// object back to determine the outcome.
//
//	GET    /v1/services                     names, versions and teams
//	GET    /v1/services/{name}              document and version
//	PUT    /v1/services/{name}              If-Match: <version> or If-None-Match: *
//	DELETE /v1/services/{name}              If-Match: <version>
//	POST   /v1/validate                     all problems of a document
//	GET    /v1/services/{name}/history      latest changes of the document
//	GET    /v1/services/{name}/status       upstreams as this daemon sees them
//	GET    /v1/services/{name}/status?all=1 upstreams as each home sees them
//	GET    /v1/daemons                      other daemons as this daemon sees them
//	POST   /v1/drain                        drain and stop this daemon
//	GET    /metrics, /livez, /readyz        no key required
package admin
