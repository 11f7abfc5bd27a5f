package bundle

import (
	"crypto/sha256"
	"encoding/hex"
)

// Adopt brings into force a bundle that operators stored elsewhere than in the bundle
// stream. A bundle whose version is not above the one in force is ignored. Adopt reports
// whether the bundle came into force.
func (g *Register) Adopt(version Version, b *Bundle) bool {
	if version <= g.state.Current.Version {
		return false
	}
	g.state.Current = InForce{Release: Release{Version: version}, Bundle: b}
	g.publish()
	return true
}

// TokenDigest returns the entry of Organisation.TokenDigests for a caller's token: its
// SHA-256 in hexadecimal.
func TokenDigest(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// OrganisationByToken returns the organisation that a caller's token belongs to, and
// whether there is one.
func (b *Bundle) OrganisationByToken(token string) (Organisation, bool) {
	digest := TokenDigest(token)
	for _, o := range b.Organisations {
		for _, d := range o.TokenDigests {
			if d == digest {
				return o, true
			}
		}
	}
	return Organisation{}, false
}
