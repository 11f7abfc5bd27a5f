package journal

// Pack gives tests access to pack.
func Pack(payload []byte) ([]byte, error) { return pack(payload) }

// Unpack gives tests access to unpack.
func Unpack(payload []byte) ([]byte, error) { return unpack(payload, maxUnpackedSize) }
