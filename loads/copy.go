package loads

// Copy announces that a server caches a shared part of a prompt.
type Copy struct {
	Part   uint64
	Server uint32 // see ServerKey
}
