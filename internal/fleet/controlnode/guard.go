package controlnode

import (
	"net/http"
	"slices"
	"strings"
)

// nodePaths are what only control nodes say to each other. The rest is for operators.
var nodePaths = []string{"/fleet/messages", "/fleet/part", "/fleet/report", "/fleet/knock", "/fleet/passed"}

// Guard lets only control nodes ask for what the nodes say to each other: a certificate of the fleet's authority is not
// enough, as every app server has one. Without TLS, on loopback, all may.
func Guard(nodes []string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.TLS != nil && slices.Contains(nodePaths, strings.TrimSuffix(r.URL.Path, "/")) && !ofNode(r, nodes) {
			http.Error(w, "for control nodes only", http.StatusForbidden)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// ofNode reports whether the certificate of a request names a control node.
func ofNode(r *http.Request, nodes []string) bool {
	if len(r.TLS.PeerCertificates) == 0 {
		return false
	}
	return slices.ContainsFunc(nodes, func(name string) bool { return r.TLS.PeerCertificates[0].VerifyHostname(name) == nil })
}
