package ledger

// maxClaims bounds the owners that are asked about one key.
const maxClaims = 64

// ClaimFromOthers claims a key, which self holds as running, from the other possible
// owners and from those that they name. Decision Run means that none of them ran the
// request or will run it while its fence stands. claim sends the claim to one owner; an
// error means that the result is unknown.
func ClaimFromOthers(self string, owners []string, claim func(owner string) (Verdict, error)) Verdict {
	claimed := map[string]bool{self: true}
	for len(owners) > 0 {
		owner := owners[0]
		owners = owners[1:]
		if claimed[owner] {
			continue
		}
		claimed[owner] = true
		v, err := claim(owner)
		if err != nil || len(claimed) > maxClaims {
			return Verdict{Decision: PriorUnknown}
		}
		if v.Decision != Moved {
			return v
		}
		if v.AlsoClaimFrom != "" {
			owners = append(owners, v.AlsoClaimFrom)
		}
	}
	return Verdict{Decision: Run}
}
