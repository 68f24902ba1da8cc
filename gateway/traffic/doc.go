// Package traffic counts the bytes that a router sends and reads, by what they are for
// and by how far they go: bytes between halls are priced, those between regions higher.
package traffic
