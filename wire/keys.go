package wire

// KeyReserve asks one of the agents that own an idempotency key to reserve the key
// for a request.
type KeyReserve struct {
	Request uint64
	Work    Number
	Digest  []byte // 16 bytes
	Made    int64  // Unix time in milliseconds by the caller's clock, 0 if unknown
}

// KeyVerdict is an owner's reply to KeyReserve.
type KeyVerdict struct {
	Request uint64
	Verdict uint8 // a once.Verdict
}

// KeyRelease informs an owner that the request did not run, so that the owner
// releases the key.
type KeyRelease struct {
	Request uint64
	Work    Number
	Digest  []byte // 16 bytes
}

// Type implements Message.
func (KeyReserve) Type() Type { return TypeKeyReserve }

// Type implements Message.
func (KeyVerdict) Type() Type { return TypeKeyVerdict }

// Type implements Message.
func (KeyRelease) Type() Type { return TypeKeyRelease }
