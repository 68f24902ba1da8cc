// Package secure gives the processes of a fleet TLS for the connections between
// them. Each process has a certificate of the fleet's own authority, whose
// common name is the process's name and whose organizational unit is its role.
// Files are read again when they change, so keys rotate without a restart.
//
//	s, err := secure.NewStore(secure.Files{Cert: "p.crt", Key: "p.key", Authority: "ca.crt"})
//	cfg := s.Client(secure.Identity{Name: "engine-1", Role: "agent"})
package secure
