package bundle

import (
	"crypto/sha256"
	"encoding/hex"
)

// Adopt brings a bundle into force that operators stored outside the stream of
// drafts. Versions only rise: an older or equal one is left alone. It reports
// whether the bundle came into force.
func (g *Register) Adopt(version Version, b *Bundle) bool {
	if version <= g.state.Current.Version {
		return false
	}
	g.state.Current = InForce{Release: Release{Version: version}, Bundle: b}
	g.publish()
	return true
}

// TokenDigest returns the digest under which a caller's token stands in a bundle.
func TokenDigest(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// OrganisationByToken returns the organisation that the token belongs to.
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
