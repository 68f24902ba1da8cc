package loads

// Copy says that a server keeps a shared part of a prompt.
type Copy struct {
	Part   uint64
	Server uint32 // see Key
}
