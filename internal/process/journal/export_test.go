package journal

// Pack is pack.
func Pack(payload []byte) ([]byte, error) { return pack(payload) }

// Unpack is unpack.
func Unpack(payload []byte) ([]byte, error) { return unpack(payload) }
